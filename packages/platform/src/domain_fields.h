#ifndef FILBERTSPRING_PLATFORM_DOMAIN_FIELDS_H
#define FILBERTSPRING_PLATFORM_DOMAIN_FIELDS_H

/// \file
/// JSON fields of the types that occur in both rows and messages.

#include "filbertspring/domain/endpoint.h"
#include "filbertspring/domain/task.h"
#include "json_fields.h"

namespace filbertspring {

template <typename Archive, ValueOf<Resources> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("cpu_millicores", Value.Cpu_);
  Fields("memory_mib", Value.Memory_);
  Fields("accelerators", Value.Accelerators_);
}

template <typename Archive, ValueOf<AttemptRef> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("job", Value.Task_.Job_);
  Fields("index", Value.Task_.Index_);
  Fields("attempt", Value.Attempt_);
}

template <typename Archive, ValueOf<Address> Self>
void describe(Archive &Fields, Self &Value) {
  Fields("host", Value.Host_);
  Fields("port", Value.Port_);
}

} // namespace filbertspring

#endif // FILBERTSPRING_PLATFORM_DOMAIN_FIELDS_H

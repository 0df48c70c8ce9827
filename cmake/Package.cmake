# Declares the static library of one package and its alias.
#   filbertspring_package(NAME SOURCES a.cpp ... DEPENDS target ... PRIVATE target ...)
function(filbertspring_package NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE" ${ARGN})
  add_library(filbertspring_${NAME} STATIC ${ARG_SOURCES})
  add_library(filbertspring::${NAME} ALIAS filbertspring_${NAME})
  target_include_directories(filbertspring_${NAME}
    PUBLIC include PRIVATE src)
  target_link_libraries(filbertspring_${NAME}
    PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE})
endfunction()

# Declares one Boost.Test program and registers it with CTest.
#   filbertspring_test(NAME SOURCES a.cpp ... LIBS target ...)
function(filbertspring_test NAME)
  if(NOT FILBERTSPRING_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LIBS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_link_libraries(${NAME} PRIVATE ${ARG_LIBS}
    Boost::unit_test_framework)
  add_test(NAME ${NAME} COMMAND ${NAME})
endfunction()

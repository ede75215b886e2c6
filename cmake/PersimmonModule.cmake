# Declares one module: a static library persimmon_NAME, and test_NAME when it has tests.
function(persimmon_module NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;TESTS;DEPENDS;PRIVATE_DEPENDS;TEST_DEPENDS" ${ARGN})
  add_library(persimmon_${NAME} STATIC ${ARG_SOURCES})
  target_include_directories(persimmon_${NAME} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(persimmon_${NAME} PUBLIC ${ARG_DEPENDS} PRIVATE ${ARG_PRIVATE_DEPENDS})
  if(ARG_TESTS AND NOT PERSIMMON_DEPLOYED_ONLY)
    persimmon_test(${NAME} SOURCES ${ARG_TESTS} DEPENDS persimmon_${NAME} ${ARG_TEST_DEPENDS})
  endif()
endfunction()

# Declares one CppUTest program test_NAME.
function(persimmon_test NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(test_${NAME} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/src/base/tests/testmain.cpp)
  target_include_directories(test_${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_compile_definitions(test_${NAME} PRIVATE PERSIMMON_SOURCE_DIR="${PROJECT_SOURCE_DIR}" CPPUTEST_MEM_LEAK_DETECTION_DISABLED)
  target_link_libraries(test_${NAME} PRIVATE ${ARG_DEPENDS} CppUTest CppUTestExt Threads::Threads)
  set_target_properties(test_${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
endfunction()

# Declares one program NAME.
function(persimmon_program NAME)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${NAME} ${ARG_SOURCES})
  target_include_directories(${NAME} PRIVATE ${PROJECT_SOURCE_DIR}/src ${PROJECT_SOURCE_DIR})
  target_compile_definitions(${NAME} PRIVATE PERSIMMON_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${NAME} PRIVATE ${ARG_DEPENDS} Threads::Threads)
endfunction()

# Package layers, lowest first. A package may only link packages that stand before it.
set(HEMLOCK_LAYERS model decisions wire runtime daemon ctl testing)

find_package(Threads REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS fiber context)

add_library(hemlock_options INTERFACE)
target_compile_options(hemlock_options INTERFACE -Wall -Wextra -Wshadow -Wno-missing-field-initializers)
if(HEMLOCK_SANITIZE)
  target_compile_options(hemlock_options INTERFACE -fsanitize=address,undefined -fno-omit-frame-pointer)
  target_link_options(hemlock_options INTERFACE -fsanitize=address,undefined)
endif()

# hemlock_package(NAME DEPENDS package... LIBRARIES library...)
# Builds the static library hemlock_NAME from src/*.cpp of the current folder.
function(hemlock_package NAME)
  cmake_parse_arguments(ARG "" "" "DEPENDS;LIBRARIES;EXCLUDE" ${ARGN})
  list(FIND HEMLOCK_LAYERS ${NAME} own_layer)
  foreach(dependency ${ARG_DEPENDS})
    list(FIND HEMLOCK_LAYERS ${dependency} layer)
    if(layer EQUAL -1 OR NOT layer LESS own_layer)
      message(FATAL_ERROR "package ${NAME} must not depend on package ${dependency}")
    endif()
    list(APPEND dependency_targets hemlock_${dependency})
  endforeach()
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/src/main/")
  add_library(hemlock_${NAME} STATIC ${sources})
  target_include_directories(hemlock_${NAME} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                                             PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(hemlock_${NAME} PUBLIC hemlock_options ${dependency_targets} ${ARG_LIBRARIES})
endfunction()

# hemlock_program(NAME PACKAGE): builds src/main/NAME.cpp of the current folder against the package.
function(hemlock_program NAME PACKAGE)
  add_executable(${NAME} src/main/${NAME}.cpp)
  target_link_libraries(${NAME} PRIVATE hemlock_${PACKAGE} docopt)
  set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# hemlock_tests(PACKAGE [LIBRARIES library...]): one CppUTest runner from tests/*.cpp, one CTest entry per file.
# Each test file holds the groups of one feature; the CTest entry runs the groups whose name holds the file's name.
function(hemlock_tests PACKAGE)
  cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
  if(NOT sources)
    return()
  endif()
  set(runner hemlock_${PACKAGE}_tests)
  add_executable(${runner} ${sources})
  target_include_directories(${runner} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src ${CMAKE_CURRENT_SOURCE_DIR}/tests)
  target_link_libraries(${runner} PRIVATE hemlock_${PACKAGE} ${ARG_LIBRARIES} CppUTest)
  set_target_properties(${runner} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  foreach(source ${sources})
    get_filename_component(feature ${source} NAME_WE)
    if(feature MATCHES "Test$")
      string(REGEX REPLACE "Test$" "" group ${feature})
      add_test(NAME ${PACKAGE}.${group} COMMAND ${runner} -g ${group})
      set_tests_properties(${PACKAGE}.${group} PROPERTIES TIMEOUT 240
                           ENVIRONMENT "RC_PARAMS=seed=20261204")
    endif()
  endforeach()
endfunction()

# Guards against an older program that runs in place of the checked out one, as
# its build folder was carried over to sources with older times (review/1).
# Builds a project of one program in FOLDER, again and again, and checks what the
# program prints.

# Writes the source of the program, as one that was changed at this time.
function(write_source text time)
  file(WRITE "${FOLDER}/Source/main.cxx"
    "#include <cstdio>\nint main() { std::puts(\"${text}\"); }\n")
  execute_process(COMMAND touch -d "${time}" "${FOLDER}/Source/main.cxx"
    COMMAND_ERROR_IS_FATAL ANY)
endfunction()

# Builds the project, and checks that the program prints this text.
function(check_built_program text when)
  execute_process(
    COMMAND ${CMAKE_COMMAND} -G ${GENERATOR} -S "${FOLDER}" -B "${FOLDER}/build"
    OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
  execute_process(COMMAND ${CMAKE_COMMAND} --build "${FOLDER}/build"
    OUTPUT_QUIET COMMAND_ERROR_IS_FATAL ANY)
  execute_process(COMMAND "${FOLDER}/build/bin/program"
    OUTPUT_VARIABLE printed OUTPUT_STRIP_TRAILING_WHITESPACE
    COMMAND_ERROR_IS_FATAL ANY)
  if(NOT printed STREQUAL text)
    message(FATAL_ERROR "${when}: the program prints '${printed}', not '${text}'")
  endif()
endfunction()

file(REMOVE_RECURSE "${FOLDER}")
file(MAKE_DIRECTORY "${FOLDER}/Source" "${FOLDER}/platform" "${FOLDER}/CMake")
file(WRITE "${FOLDER}/CMakeLists.txt" "
cmake_minimum_required(VERSION 3.25)
project(program LANGUAGES CXX)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY \${CMAKE_BINARY_DIR}/bin)
list(APPEND CMAKE_MODULE_PATH \"${MODULES}\")
include(gpBuildFolder)
gp_check_build_folder()
file(CONFIGURE OUTPUT digest.cxx
  CONTENT \"const char* const kDigest = \\\"@GP_SOURCE_DIGEST@\\\";\" @ONLY)
add_executable(program Source/main.cxx \${CMAKE_CURRENT_BINARY_DIR}/digest.cxx)
gp_record_sources(program)
")
write_source("first" "2026-11-24 06:00")
check_built_program("first" "a new folder")
write_source("second" "2026-11-24 06:00")
check_built_program("second" "other sources with the same time")
write_source("first" "2026-11-20 06:00")
check_built_program("first" "other sources with an older time")
file(REMOVE "${FOLDER}/build/sources.txt")
write_source("third" "2026-11-24 06:00")
check_built_program("third" "a folder without a record")
file(READ "${FOLDER}/build/sources.txt" record)
string(REGEX REPLACE "^[^ ]+" "other-processor" record "${record}")
file(WRITE "${FOLDER}/build/sources.txt" "${record}")
file(WRITE "${FOLDER}/build/bin/program" "of another machine")
check_built_program("third" "a folder of another kind of machine")

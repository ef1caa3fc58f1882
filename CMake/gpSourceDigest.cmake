# Digests of the sources of a project, by content.

# Sets `out` to one line for each source in the project at `root`: the SHA-256 of
# its content and its path.
function(gp_list_sources root out)
  file(GLOB_RECURSE files LIST_DIRECTORIES false RELATIVE "${root}"
    "${root}/Source/*" "${root}/platform/*" "${root}/CMake/*")
  list(APPEND files CMakeLists.txt)
  list(SORT files)
  set(lines "")
  foreach(file IN LISTS files)
    file(SHA256 "${root}/${file}" digest)
    list(APPEND lines "${digest} ${file}")
  endforeach()
  set(${out} "${lines}" PARENT_SCOPE)
endfunction()

# Sets `out` to 12 hexadecimal digits that tell the listed sources apart from
# others.
function(gp_digest_sources sources out)
  string(SHA256 digest "${sources}")
  string(SUBSTRING "${digest}" 0 12 digest)
  set(${out} "${digest}" PARENT_SCOPE)
endfunction()

# Run as a script (cmake -P), it prints the digest of the project around it.
if(CMAKE_SCRIPT_MODE_FILE STREQUAL CMAKE_CURRENT_LIST_FILE)
  get_filename_component(root "${CMAKE_CURRENT_LIST_DIR}" DIRECTORY)
  gp_list_sources("${root}" sources)
  gp_digest_sources("${sources}" digest)
  execute_process(COMMAND ${CMAKE_COMMAND} -E echo "${digest}")
endif()

# Keeps programs of other sources from being taken for up to date. Ninja compares
# times only, so in a build folder that was carried over to a checkout whose files
# have older times, it would keep the programs that the folder came with.
include(gpSourceDigest)

# Sets `out` to the first line of the record: what else decides about the objects.
function(gp_describe_machine out)
  cmake_host_system_information(RESULT processor QUERY OS_PLATFORM)
  set(${out} "${processor} ${CMAKE_CXX_COMPILER_ID} ${CMAKE_CXX_COMPILER_VERSION}"
    PARENT_SCOPE)
endfunction()

# Sets `out` to why Ninja would keep objects that were made from something else
# than `sources` on `machine`; to an empty string if it wouldn't.
function(gp_find_stale_objects record machine sources out)
  set(${out} "" PARENT_SCOPE)
  if(NOT EXISTS "${record}")
    set(${out} "it doesn't tell its sources" PARENT_SCOPE)
    return()
  endif()
  file(STRINGS "${record}" built)
  list(POP_FRONT built builtOn)
  if(NOT builtOn STREQUAL machine)
    set(${out} "it was made on ${builtOn}" PARENT_SCOPE)
    return()
  endif()
  file(TIMESTAMP "${record}" builtAt "%s" UTC)
  list(REMOVE_ITEM sources ${built})
  foreach(line IN LISTS sources)
    string(SUBSTRING "${line}" 65 -1 file)
    file(TIMESTAMP "${CMAKE_SOURCE_DIR}/${file}" changedAt "%s" UTC)
    if(changedAt LESS_EQUAL builtAt)
      set(${out} "it was made from another ${file}" PARENT_SCOPE)
      return()
    endif()
  endforeach()
endfunction()

# Removes what the build folder has if it wasn't made from the present sources and
# Ninja wouldn't notice. Sets GP_SOURCE_DIGEST.
macro(gp_check_build_folder)
  gp_list_sources("${CMAKE_SOURCE_DIR}" gpSources)
  gp_digest_sources("${gpSources}" GP_SOURCE_DIGEST)
  # A changed source has to change the digest, and so to repeat this.
  list(TRANSFORM gpSources REPLACE "^[0-9a-f]+ " "${CMAKE_SOURCE_DIR}/"
    OUTPUT_VARIABLE gpSourceFiles)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${gpSourceFiles})
  file(GLOB_RECURSE gpObjects "${CMAKE_BINARY_DIR}/*.o" "${CMAKE_BINARY_DIR}/*.a")
  gp_describe_machine(gpMachine)
  set(gpStale "")
  if(gpObjects)
    gp_find_stale_objects("${CMAKE_BINARY_DIR}/sources.txt" "${gpMachine}"
      "${gpSources}" gpStale)
  endif()
  if(gpStale)
    message(STATUS "The build folder is stale, ${gpStale}: building all anew")
    file(REMOVE ${gpObjects})
    file(REMOVE_RECURSE "${CMAKE_BINARY_DIR}/bin")
  endif()
  list(JOIN gpSources "\n" gpLines)
  file(CONFIGURE OUTPUT "${CMAKE_BINARY_DIR}/sources-next.txt"
    CONTENT "${gpMachine}\n${gpLines}\n" @ONLY)
endmacro()

# The record is replaced when the program has been linked, so that a build that
# was cut short doesn't count as one of its sources. Each change of a source links
# it again, as it contains the digest.
function(gp_record_sources target)
  add_custom_command(TARGET ${target} POST_BUILD
    COMMAND ${CMAKE_COMMAND} -E copy
      "${CMAKE_BINARY_DIR}/sources-next.txt" "${CMAKE_BINARY_DIR}/sources.txt"
    VERBATIM)
endfunction()

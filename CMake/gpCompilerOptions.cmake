# Compiler options for all build targets of the project.

add_compile_options(-Wall -Wextra -Wpedantic -Werror)

# Line numbers are enough for back traces; full debug information would make the
# slow compilation of Boost.Beast and Boost.JSON slower.
add_compile_options(-g1)

if(GP_SANITIZE)
  add_compile_options(-fsanitize=address,undefined -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

if(GP_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined
    -fno-sanitize-recover=all -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()

# Compiler options that every target of the project shares.

add_compile_options(-Wall -Wextra -Wpedantic -Werror)

# Beast and JSON take long to compile; debug lines are enough for back traces.
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

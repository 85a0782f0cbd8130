# Functions with which every folder declares its targets alike.

function(crankrudder_set_warnings target)
    # GCC 12 reports -Wrestrict falsely for replacements within std::string when it optimises (GCC bug 105329).
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wno-restrict -Wshadow=local -Wno-missing-field-initializers -Werror)
endfunction()

# A static library made of all sources in its folder.
function(crankrudder_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${ARGN})
    crankrudder_set_warnings(${name})
endfunction()

function(crankrudder_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
    target_link_libraries(${name} PRIVATE ${ARGN})
    crankrudder_set_warnings(${name})
endfunction()

# One Criterion program for each library, made of all Test*.cpp in its folder.
function(crankrudder_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/Test*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
    target_link_libraries(${name} PRIVATE PkgConfig::CRITERION ${ARGN})
    crankrudder_set_warnings(${name})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

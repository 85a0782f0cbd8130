# Functions that all folders use to declare their targets.

function(crankrudder_set_warnings target)
    # GCC 12 with optimisation reports -Wrestrict falsely for replacements within a std::string (GCC bug 105329).
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wno-restrict -Wshadow=local -Wno-missing-field-initializers -Werror)
endfunction()

# Declares a static library of all sources in the folder and its subfolders: crankrudder_library NAME LIBRARIES…
function(crankrudder_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp ${CMAKE_CURRENT_SOURCE_DIR}/*/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${ARGN})
    crankrudder_set_warnings(${name})
endfunction()

# Declares a program of all sources in the folder: crankrudder_program NAME LIBRARIES…
function(crankrudder_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
    target_link_libraries(${name} PRIVATE ${ARGN})
    crankrudder_set_warnings(${name})
endfunction()

# Declares a Criterion test program of all Test*.cpp in the folder: crankrudder_test NAME LIBRARIES…
function(crankrudder_test name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/Test*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/Tests)
    target_link_libraries(${name} PRIVATE PkgConfig::CRITERION ${ARGN})
    crankrudder_set_warnings(${name})
    add_test(NAME ${name} COMMAND ${name})
    set_tests_properties(${name} PROPERTIES TIMEOUT 300)
endfunction()

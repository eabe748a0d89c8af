# Adds each direct subfolder of `parent` that has a CMakeLists.txt of its own.
function(pipitpond_add_subdirectories parent)
  file(GLOB children CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${parent}/*/CMakeLists.txt)
  foreach(child ${children})
    get_filename_component(folder ${child} DIRECTORY)
    add_subdirectory(${folder})
  endforeach()
endfunction()

# pipitpond_library(<part> [dependencies...]): static library of all .cpp files of the calling folder.
# Dependencies name other parts (core, http, ...) or library targets.
function(pipitpond_library part)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  if(sources)
    add_library(pipitpond_${part} STATIC ${sources})
    target_link_libraries(pipitpond_${part} PUBLIC pipitpond_options)
    pipitpond_link(pipitpond_${part} PUBLIC ${ARGN})
  else()
    add_library(pipitpond_${part} INTERFACE)
    target_link_libraries(pipitpond_${part} INTERFACE pipitpond_options)
    pipitpond_link(pipitpond_${part} INTERFACE ${ARGN})
  endif()
endfunction()

# pipitpond_program(<name> [dependencies...]): executable of all .cpp files of the calling folder.
function(pipitpond_program name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE pipitpond_options)
  pipitpond_link(${name} PRIVATE ${ARGN})
endfunction()

# pipitpond_test(<part> [dependencies...]): GoogleTest program of all .cpp files of the calling folder.
function(pipitpond_test part)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${part}_test ${sources})
  target_include_directories(${part}_test PRIVATE ${CMAKE_SOURCE_DIR}/tests)
  target_link_libraries(${part}_test PRIVATE pipitpond_options GTest::gmock GTest::gtest_main)
  pipitpond_link(${part}_test PRIVATE ${ARGN})
  add_test(NAME ${part}_test COMMAND ${part}_test)
  set_tests_properties(${part}_test PROPERTIES TIMEOUT 300
    ENVIRONMENT "PIPITPOND_BIN=${CMAKE_BINARY_DIR}/bin;PIPITPOND_SOURCE=${CMAKE_SOURCE_DIR};RC_PARAMS=seed=20261202")
endfunction()

# Links parts by their short name and any other target by its full name.
function(pipitpond_link target visibility)
  foreach(dependency ${ARGN})
    if(EXISTS ${CMAKE_SOURCE_DIR}/src/${dependency}/CMakeLists.txt)
      target_link_libraries(${target} ${visibility} pipitpond_${dependency})
    else()
      target_link_libraries(${target} ${visibility} ${dependency})
    endif()
  endforeach()
endfunction()

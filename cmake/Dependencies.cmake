# Libraries taken from the distribution. Every target links pipitpond_options.
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_package(fmt REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(ZLIB REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LUA REQUIRED IMPORTED_TARGET lua5.4)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_library(PROMETHEUS_CORE_LIBRARY prometheus-cpp-core REQUIRED)
if(NOT PIPITPOND_DEPLOYED_ONLY)
  find_package(GTest REQUIRED)
  find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
endif()

add_library(pipitpond_options INTERFACE)
target_include_directories(pipitpond_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_compile_definitions(pipitpond_options INTERFACE
  RESTINIO_USE_BOOST_ASIO=static
  SPDLOG_FMT_EXTERNAL
  MSGPACK_NO_BOOST
  PIPITPOND_VERSION="${PROJECT_VERSION}")
# Boost.Asio 1.74 uses std::exchange in awaitable.hpp without including <utility>.
target_compile_options(pipitpond_options INTERFACE -include utility)
# GCC 12 inlines the operator new of Asio's coroutine frames but not its operator delete, and then calls the two
# mismatched (-O2 only).
target_compile_options(pipitpond_options INTERFACE -Wno-mismatched-new-delete)
target_compile_options(pipitpond_options INTERFACE -Wall -Wextra -Wshadow -Werror -Wno-error=maybe-uninitialized)
target_link_libraries(pipitpond_options INTERFACE Threads::Threads fmt::fmt)

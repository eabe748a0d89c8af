// Lets clang-tidy 14 analyse C++20 coroutines of libstdc++ 12: clang 14 still looks for them in
// std::experimental. Force-included by scripts/lint only; never part of a build.
#pragma once
#if defined(__clang__)
#define __cpp_impl_coroutine 201902L
#include <coroutine>
namespace std::experimental {
using std::coroutine_handle;
using std::coroutine_traits;
using std::suspend_always;
using std::suspend_never;
}  // namespace std::experimental
#define BOOST_ASIO_HAS_CO_AWAIT 1
#define BOOST_ASIO_HAS_STD_COROUTINE 1
#endif

#include "gateway/upstreamcaller.h"

namespace persimmon::gateway {

template class basic_upstream_caller<upstream::upstream_loop, steady_clock>;

} // namespace persimmon::gateway

// Boost.JSON under the short name `json`. Its sources are compiled once, in
// json.cc.
#pragma once

#include <boost/json.hpp>

namespace bilberrypitch {

namespace json = boost::json;

}  // namespace bilberrypitch

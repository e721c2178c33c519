// Boost.JSON for the whole program; its sources are compiled once, in json.cc.
#pragma once

#include <boost/json.hpp>

namespace bilberrypitch {

namespace json = boost::json;

}  // namespace bilberrypitch

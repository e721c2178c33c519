// Compiles the sources of Boost.JSON.
#include <boost/json/src.hpp>

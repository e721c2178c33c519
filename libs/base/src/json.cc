// Compiles Boost.JSON's sources once.
#include <boost/json/src.hpp>

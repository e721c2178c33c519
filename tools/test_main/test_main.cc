// The main function that every test program shares.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

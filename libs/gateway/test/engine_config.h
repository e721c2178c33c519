// A configuration with a service of engines, for tests.
#pragma once

namespace bilberrypitch {

// Version 2, with the route "/ask/", model "m", adapters "a1" to "a10" and the
// key "k1".
inline constexpr char kEngineConfig[] = R"({"version":2,"routes":[
  {"name":"ask","host":"h","prefix":"/ask/","kind":"idempotent",
   "timeoutMs":8000,"goalMs":300,"attempts":2,"service":"llm"}],
  "services":[{"name":"llm","engine":{"capacity":8,"kvTokens":1000,
    "weightsMb":100,"adapterSlots":4,"loadsPerS":10,"models":[
      {"name":"m","weightsMb":80,"loadS":0.1,"adapters":10,
       "adapterMb":1}]}}],
  "tenants":[{"name":"w","apiKeys":["k1"]}]})";

// The same with streams, whose longest pause makes prompts wait for a grant.
inline constexpr char kStreamEngineConfig[] = R"({"version":2,"routes":[
  {"name":"ask","host":"h","prefix":"/ask/","kind":"stream","gapAimMs":50,
   "timeoutMs":8000,"goalMs":300,"attempts":2,"service":"llm"}],
  "services":[{"name":"llm","engine":{"capacity":8,"kvTokens":10000,
    "weightsMb":100,"adapterSlots":4,"loadsPerS":10,"models":[
      {"name":"m","weightsMb":80,"loadS":0.1,"adapters":10,
       "adapterMb":1}]}}],
  "tenants":[{"name":"w","apiKeys":["k1"]}]})";

}  // namespace bilberrypitch

#ifndef KNAPWEEDLIFT_TESTS_SUPPORT_PROPERTIES_H_
#define KNAPWEEDLIFT_TESTS_SUPPORT_PROPERTIES_H_

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <string>

// Checks a property with RapidCheck; the Criterion test fails and ends if the
// property does not hold.
template <typename Property>
void ExpectProperty(const std::string& name, Property property) {
  cr_assert(rc::check(name, property), "property fails: %s", name.c_str());
}

#endif  // KNAPWEEDLIFT_TESTS_SUPPORT_PROPERTIES_H_

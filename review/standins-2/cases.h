#ifndef REVIEW_STANDINS_2_CASES_H_
#define REVIEW_STANDINS_2_CASES_H_

#include <string>

#include "world.h"

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCannotRun = 2;

// Plays one case against the project's daemons.
int Play(World& world, const std::string& name);

#endif  // REVIEW_STANDINS_2_CASES_H_

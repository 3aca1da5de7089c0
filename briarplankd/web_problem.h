/**
 * Formats errors as RFC 9457 problems, including the error pages of h2o.
 */
#ifndef BRIARPLANKD_WEB_PROBLEM_H
#define BRIARPLANKD_WEB_PROBLEM_H

#include <h2o.h>

#define WEB_PROBLEM_TYPE "application/problem+json"

/** Returns a problem as JSON text, to be freed with g_free(). */
char *web_problem_json(int status, const char *title, const char *detail);

/** Replaces h2o's error pages below a path by problems. */
void web_problem_install(h2o_pathconf_t *path);

#endif

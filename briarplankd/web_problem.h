/**
 * Problems of RFC 9457, also for the errors that h2o itself answers with.
 */
#ifndef BRIARPLANKD_WEB_PROBLEM_H
#define BRIARPLANKD_WEB_PROBLEM_H

#include <h2o.h>

#define WEB_PROBLEM_TYPE "application/problem+json"

/** Returns a problem as JSON text; free it with g_free(). */
char *web_problem_json(int status, const char *title, const char *detail);

/** Turns h2o's own error pages below a path into problems. */
void web_problem_install(h2o_pathconf_t *path);

#endif

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <wchar.h>

#include <glib.h>
#include <histedit.h>

#include "completion.h"
#include "prompt.h"

#define PROMPT "briarplank> "
#define HISTORY_MAX_LINES 1000
#define HISTORY_FILE ".briarplankctl_history"

static const char *prompt_text(EditLine *edit)
{
	(void)edit;
	return PROMPT;
}

static size_t common_prefix_length(char **words)
{
	size_t len = strlen(words[0]);
	char **word;

	for (word = words + 1; *word; word++) {
		size_t i = 0;

		while (i < len && words[0][i] == (*word)[i])
			i++;
		len = i;
	}
	return len;
}

static void print_words(char **words)
{
	putchar('\n');
	for (; *words; words++)
		printf("%s  ", *words);
	putchar('\n');
	fflush(stdout);
}

/* Inserts the common prefix of all candidates, or lists the candidates. */
static unsigned char complete(EditLine *edit, wint_t key)
{
	const LineInfo *info = el_line(edit);
	char *line = g_strndup(info->buffer, info->cursor - info->buffer);
	const char *last = strrchr(line, ' ');
	size_t typed = strlen(last ? last + 1 : line);
	char **words = completion_find(line);
	unsigned char result = CC_ERROR;

	(void)key;
	if (words[0]) {
		char *more = g_strndup(words[0] + typed,
				       common_prefix_length(words) - typed);

		result = CC_REDISPLAY;
		if (*more)
			el_insertstr(edit, more);
		else if (words[1])
			print_words(words);
		if (!words[1])
			el_insertstr(edit, " ");
		if (!*more && words[1])
			result = CC_REDISPLAY;
		g_free(more);
	}
	g_strfreev(words);
	g_free(line);
	return result;
}

static EditLine *open_edit(History *lines)
{
	EditLine *edit = el_init("briarplankctl", stdin, stdout, stderr);

	el_set(edit, EL_PROMPT, prompt_text);
	el_set(edit, EL_EDITOR, "emacs");
	el_set(edit, EL_HIST, history, lines);
	/* el_set() would leak its converted copies of both strings. */
	el_wset(edit, EL_ADDFN, L"complete", L"Complete a word", complete);
	el_set(edit, EL_BIND, "^I", "complete", NULL);
	el_set(edit, EL_SIGNAL, 1);
	return edit;
}

static History *open_history(const char *file)
{
	History *lines = history_init();
	HistEvent event;

	history(lines, &event, H_SETSIZE, HISTORY_MAX_LINES);
	history(lines, &event, H_SETUNIQUE, 1);
	history(lines, &event, H_LOAD, file);
	return lines;
}

int prompt_run(prompt_run_fn run, void *ctx)
{
	char *file = g_build_filename(g_get_home_dir(), HISTORY_FILE, NULL);
	History *lines = open_history(file);
	EditLine *edit = open_edit(lines);
	HistEvent event;
	const char *text;
	int status = 0;
	int nr;

	while ((text = el_gets(edit, &nr)) != NULL && nr > 0) {
		char *line = g_strstrip(g_strdup(text));
		bool leave = !strcmp(line, "exit") || !strcmp(line, "quit");

		if (*line && !leave) {
			history(lines, &event, H_ENTER, line);
			status = run(ctx, line);
		}
		g_free(line);
		if (leave)
			break;
	}
	history(lines, &event, H_SAVE, file);
	el_end(edit);
	history_end(lines);
	g_free(file);
	return status;
}

int prompt_run_script(prompt_run_fn run, void *ctx)
{
	char *text = NULL;
	size_t size = 0;
	int status = 0;

	while (getline(&text, &size, stdin) > 0) {
		int line_status = 0;

		g_strstrip(text);
		if (*text && *text != '#')
			line_status = run(ctx, text);
		if (!status)
			status = line_status;
	}
	free(text);
	return status;
}

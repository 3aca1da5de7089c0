#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "script.h"

static const struct script_driver *driver;
static GPtrArray *files;

struct run {
	const char *file;
	void *state;
	GString *output;
	GString *expected;
	int command_line;
};

static int compare_names(const void *a, const void *b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void find_files(const char *dir)
{
	GDir *handle = g_dir_open(dir, 0, NULL);
	const char *name;

	files = g_ptr_array_new_with_free_func(g_free);
	while (handle && (name = g_dir_read_name(handle)) != NULL) {
		if (g_str_has_suffix(name, ".txt"))
			g_ptr_array_add(files,
					g_build_filename(dir, name, NULL));
	}
	if (handle)
		g_dir_close(handle);
	g_ptr_array_sort(files, compare_names);
}

static void compare_output(struct run *run)
{
	if (run->command_line)
		ck_assert_msg(!strcmp(run->output->str, run->expected->str),
			      "%s:%d: expected:\n%sgot:\n%s", run->file,
			      run->command_line, run->expected->str,
			      run->output->str);
	g_string_truncate(run->output, 0);
	g_string_truncate(run->expected, 0);
	run->command_line = 0;
}

static void run_command(struct run *run, const char *line, int number)
{
	char **argv;
	int argc;

	compare_output(run);
	ck_assert_msg(g_shell_parse_argv(line, &argc, &argv, NULL),
		      "%s:%d: invalid command line", run->file, number);
	run->command_line = number;
	driver->command(run->state, argc, argv, run->output);
	g_strfreev(argv);
}

static void run_line(struct run *run, const char *line, int number)
{
	if (*line == '#')
		return;
	if (g_str_has_prefix(line, "> ")) {
		run_command(run, line + 2, number);
	} else if (*line) {
		g_string_append_printf(run->expected, "%s\n", line);
	} else {
		compare_output(run);
		driver->destroy(run->state);
		run->state = driver->create();
	}
}

START_TEST(transcript)
{
	struct run run = { .file = files->pdata[_i] };
	char *text = NULL;
	char **lines;
	int i;

	ck_assert(g_file_get_contents(run.file, &text, NULL, NULL));
	run.output = g_string_new(NULL);
	run.expected = g_string_new(NULL);
	run.state = driver->create();
	lines = g_strsplit(g_strchomp(text), "\n", -1);
	for (i = 0; lines[i]; i++)
		run_line(&run, lines[i], i + 1);
	compare_output(&run);
	driver->destroy(run.state);
	g_strfreev(lines);
	g_string_free(run.output, TRUE);
	g_string_free(run.expected, TRUE);
	g_free(text);
}
END_TEST

int script_main(const struct script_driver *script_driver, int argc,
		char **argv)
{
	Suite *suite = suite_create(script_driver->name);
	TCase *tcase = tcase_create("transcripts");
	SRunner *runner = srunner_create(suite);
	int failed;

	driver = script_driver;
	find_files(argc > 1 ? argv[1] : script_driver->name);
	tcase_add_loop_test(tcase, transcript, 0, (int)files->len);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	if (!files->len) {
		fprintf(stderr, "no transcripts\n");
		failed = 1;
	}
	srunner_free(runner);
	g_ptr_array_free(files, TRUE);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

void script_dispatch(const struct script_command *commands, size_t nr,
		     void *state, int argc, char **argv, GString *out)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		if (strcmp(commands[i].name, argv[0]))
			continue;
		commands[i].run(state, argc, argv);
		return;
	}
	g_string_append(out, "unknown command\n");
}

const char *script_arg(int argc, char **argv, const char *key,
		       const char *fallback)
{
	size_t len = strlen(key);
	int i;

	for (i = 1; i < argc; i++) {
		if (!strncmp(argv[i], key, len) && argv[i][len] == '=')
			return argv[i] + len + 1;
	}
	return fallback;
}

int64_t script_arg_int(int argc, char **argv, const char *key, int64_t fallback)
{
	const char *text = script_arg(argc, argv, key, NULL);

	return text ? g_ascii_strtoll(text, NULL, 10) : fallback;
}

#include <stdio.h>

#include <zmq.h>

#include "bus_auth.h"
#include "make_keys.h"

int make_keys_print(void)
{
	char public_key[BUS_KEY_TEXT_BYTES + 1];
	char secret_key[BUS_KEY_TEXT_BYTES + 1];

	if (zmq_curve_keypair(public_key, secret_key) != 0) {
		fprintf(stderr, "briarplankd: this libzmq lacks CURVE\n");
		return 1;
	}
	printf("\"keys\": {\n\t\"public\": \"%s\",\n\t\"secret\": \"%s\"\n}\n",
	       public_key, secret_key);
	return 0;
}

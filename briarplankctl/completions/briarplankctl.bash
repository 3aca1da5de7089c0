# Completion of briarplankctl for bash.
_briarplankctl () {
	local word=${COMP_WORDS[COMP_CWORD]}
	local before=${COMP_WORDS[COMP_CWORD - 1]}
	local words

	case "$before" in
	-k | --key | -i | --items)
		mapfile -t COMPREPLY < <(compgen -f -- "$word")
		return
		;;
	-o | --output) words="table json" ;;
	-e | --entry | --id) return ;;
	show) words="config jobs nodes quarantine refusals requests servers services" ;;
	create) words="service" ;;
	drain | undrain) words="server" ;;
	submit | cancel) words="job" ;;
	*)
		words="-e -k -o -i --id --version --help"
		words="$words cancel create drain set show submit undrain unset"
		;;
	esac
	mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
}
complete -F _briarplankctl briarplankctl

# bash completion for knapweedwheeld
_knapweedwheeld()
{
	local cur=${COMP_WORDS[COMP_CWORD]} prev=${COMP_WORDS[COMP_CWORD - 1]}
	if [[ $prev == --settings ]]; then
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		return
	fi
	mapfile -t COMPREPLY < <(compgen -W "--settings --platform --log-level --check --version --help" -- "$cur")
}
complete -F _knapweedwheeld knapweedwheeld

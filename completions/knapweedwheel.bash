# bash completion for knapweedwheel
_knapweedwheel()
{
	local cur prev command
	local daemon="--daemon= --timeout-ms="
	COMPREPLY=()
	cur=${COMP_WORDS[COMP_CWORD]}
	prev=${COMP_WORDS[COMP_CWORD - 1]}
	if ((COMP_CWORD == 1)); then
		mapfile -t COMPREPLY < <(compgen -W "check publish submit status cancel explain drain teams trace \
			--help --version" -- "$cur")
		return
	fi
	command=${COMP_WORDS[1]}
	if [[ $cur == = || $prev == = ]]; then
		[[ $cur == = ]] && cur=
		mapfile -t COMPREPLY < <(compgen -f -- "$cur")
		return
	fi
	local words=--help
	case $command in
	check) words+=" --vms= $daemon" ;;
	publish) words+=" --dry-run --prune --author= --base= --wait-ms= --vms= $daemon" ;;
	submit) words+=" --service= --team= --tasks= --run-ms= --key= --wait-ms= $daemon" ;;
	status) words+=" --json $daemon" ;;
	cancel) words+=" --json $daemon" ;;
	explain) words+=" --json --service= $daemon" ;;
	drain) words+=" $daemon" ;;
	teams) words+=" --json $daemon" ;;
	esac
	if [[ $cur == -* ]]; then
		mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
		[[ ${COMPREPLY[0]-} == *= ]] && compopt -o nospace
		return
	fi
	case $command in
	check | publish) mapfile -t COMPREPLY < <(compgen -f -- "$cur") ;;
	status) mapfile -t COMPREPLY < <(compgen -W "cluster dc team job" -- "$cur") ;;
	esac
}
complete -F _knapweedwheel knapweedwheel

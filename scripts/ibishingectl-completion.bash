# Bash completion of ibishingectl. Source this file.

_ibishingectl()
{
    local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD - 1]}
    local flags="--operators-api= --operators-token-file= --output= --revision= --timeout-ms= --help
        --version"
    local words="catalogue key status host team queue pool report explain"
    case $previous in
    catalogue) words="get check diff apply history" ;;
    key) words="give withdraw list" ;;
    host) words="list show" ;;
    report) words="burn" ;;
    check | diff | apply)
        mapfile -t COMPREPLY < <(compgen -f -- "$word")
        return
        ;;
    explain)
        words="invalid_request unauthorized unknown_entity duplicate_id in_progress conflict
            too_large over_limit overloaded not_ready shutting_down superseded target_failed
            target_timeout outcome_unknown unavailable internal"
        ;;
    get | history | give | withdraw | burn | list | show | status | team | queue | pool) words="" ;;
    esac
    [[ $word == -* ]] && words=$flags
    mapfile -t COMPREPLY < <(compgen -W "$words" -- "$word")
    # A flag that takes a value is followed by it, not by a space.
    [[ ${COMPREPLY[0]} == *= ]] && compopt -o nospace
}
complete -F _ibishingectl ibishingectl

package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCmd struct {
	Shell string `arg:"" help:"Shell: ${enum}." enum:"bash,zsh,fish"`
}

// Help shows examples.
func (completionCmd) Help() string {
	return `Examples:
  source <(daisyhatch completion bash)
  daisyhatch completion zsh > "${fpath[1]}/_daisyhatch"
  daisyhatch completion fish > ~/.config/fish/completions/daisyhatch.fish`
}

// Run prints the script.
func (c *completionCmd) Run(s *session) error {
	words := completionWords(s.kong.Model.Node)
	switch c.Shell {
	case "bash":
		s.printf("%s", bashCompletion(words))
	case "zsh":
		s.printf("%s", zshCompletion(words))
	case "fish":
		s.printf("%s", fishCompletion(words))
	}
	return nil
}

// completion holds the words that may follow one command.
type completion struct {
	// path is the command's words, such as "order submit"; empty for the program itself.
	path     string
	commands []string
	flags    []string
}

func completionWords(n *kong.Node) []completion {
	var list []completion
	var walk func(n *kong.Node, path []string, inherited []string)
	walk = func(n *kong.Node, path, inherited []string) {
		c := completion{path: strings.Join(path, " "), flags: slices.Clone(inherited)}
		for _, f := range n.Flags {
			c.flags = append(c.flags, "--"+f.Name)
		}
		for _, child := range n.Children {
			c.commands = append(c.commands, child.Name)
			walk(child, append(slices.Clone(path), child.Name), c.flags)
		}
		list = append(list, c)
	}
	walk(n, nil, nil)
	slices.SortFunc(list, func(a, b completion) int { return strings.Compare(a.path, b.path) })
	return list
}

func (c completion) all() string {
	return strings.Join(append(slices.Clone(c.commands), c.flags...), " ")
}

// caseLines returns one line of a shell's case statement for each command.
func caseLines(words []completion) string {
	var b strings.Builder
	for _, c := range words {
		fprintf(&b, "    %q) words=%q ;;\n", c.path, c.all())
	}
	return b.String()
}

// knownPaths lists the commands for the shell's own test.
func knownPaths(words []completion) string {
	var paths []string
	for _, c := range words {
		if c.path != "" {
			paths = append(paths, strings.ReplaceAll(c.path, " ", "/"))
		}
	}
	return strings.Join(paths, " ")
}

const bashTemplate = `# bash completion for daisyhatch
_daisyhatch() {
  local current="${COMP_WORDS[COMP_CWORD]}" path="" try="" word words=""
  local known=" %s "
  for word in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    try="${path:+$path/}$word"
    [[ "$known" == *" $try "* ]] && path="$try"
  done
  case "${path//\// }" in
%s  esac
  COMPREPLY=($(compgen -W "$words" -- "$current"))
  [[ "$current" == -* ]] || COMPREPLY+=($(compgen -f -- "$current"))
}
complete -o filenames -F _daisyhatch daisyhatch
`

func bashCompletion(words []completion) string {
	return fmt.Sprintf(bashTemplate, knownPaths(words), caseLines(words))
}

const zshTemplate = `#compdef daisyhatch
_daisyhatch() {
  local path_="" try="" word words_=""
  local known=" %s "
  for word in ${words[2,CURRENT-1]}; do
    try="${path_:+$path_/}$word"
    [[ "$known" == *" $try "* ]] && path_="$try"
  done
  case "${path_//\// }" in
%s  esac
  compadd -- ${=words_}
  _files
}
compdef _daisyhatch daisyhatch
`

func zshCompletion(words []completion) string {
	lines := strings.ReplaceAll(caseLines(words), " words=", " words_=")
	return fmt.Sprintf(zshTemplate, knownPaths(words), lines)
}

func fishCompletion(words []completion) string {
	var b strings.Builder
	b.WriteString("# fish completion for daisyhatch\n")
	for _, c := range words {
		condition := "__fish_use_subcommand"
		if c.path != "" {
			condition = "__fish_seen_subcommand_from " + strings.ReplaceAll(c.path, " ", "; and __fish_seen_subcommand_from ")
		}
		for _, command := range c.commands {
			fprintf(&b, "complete -c daisyhatch -n %q -a %s\n", condition, command)
		}
		for _, f := range c.flags {
			fprintf(&b, "complete -c daisyhatch -n %q -l %s\n", condition, strings.TrimPrefix(f, "--"))
		}
	}
	return b.String()
}

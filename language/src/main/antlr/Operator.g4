// The operators' query and command language; see docs/LANGUAGE.md.
// Generate with bin/generate-grammar; the result is committed.
grammar Operator;

options { caseInsensitive = true; }

script : condition? statement (';' statement)* ';'? EOF ;

condition : IF VERSION number ;

statement
    : IMPORTANCE ORDER name ('<' name)*                              # importanceOrder
    | OPERATION name '/' name operationPart*                         # operation
    | RETRY BOUND number                                             # retryBound
    | DRAIN scope name                                               # drain
    | RETURN scope name                                              # returnToService
    | TEAM name teamPart*                                            # team
    | REMOVE TEAM name                                               # removeTeam
    | QUARANTINE name                                                # quarantine
    | RELEASE name                                                   # release
    | SHOW topic                                                     # show
    | EXPLAIN REQUEST name                                           # explain
    | HELP                                                           # help
    ;

// A rule of its own, so that an unknown topic is reported with the topics that exist.
topic
    : CONFIGURATION                                             # showConfiguration
    | HISTORY                                                   # showHistory
    | HOSTS                                                     # showHosts
    | TEAMS                                                     # showTeams
    | QUARANTINE                                                # showQuarantine
    | SHED (BY grouping)? (TOP number)? (LAST number SECONDS)?  # showShed
    | CHANGE name                                               # showChange
    ;

operationPart
    : IMPORTANCE name
    | NOT? IDEMPOTENT
    | DEADLINE number MS
    ;

teamPart
    : IMPORTANCE name
    | RATE number (BURST number)?
    | KEYS name (',' name)*
    ;

scope : HOST | DOMAIN ;

grouping : HOST | OPERATION | IMPORTANCE | REASON ;

number : NUMBER ;

name : WORD | NUMBER | IF | VERSION | IMPORTANCE | ORDER | OPERATION | RETRY | BOUND | DRAIN | RETURN | QUARANTINE
     | RELEASE | SHOW | CONFIGURATION | HISTORY | HOSTS | SHED | BY | TOP | LAST | SECONDS | CHANGE | EXPLAIN
     | REQUEST | HELP | NOT | IDEMPOTENT | DEADLINE | MS | HOST | DOMAIN | REASON | TEAM | TEAMS | REMOVE | RATE
     | BURST | KEYS ;

IF : 'if' ;
VERSION : 'version' ;
IMPORTANCE : 'importance' ;
ORDER : 'order' ;
OPERATION : 'operation' ;
RETRY : 'retry' ;
BOUND : 'bound' ;
DRAIN : 'drain' ;
RETURN : 'return' ;
QUARANTINE : 'quarantine' ;
RELEASE : 'release' ;
SHOW : 'show' ;
CONFIGURATION : 'configuration' ;
HISTORY : 'history' ;
HOSTS : 'hosts' ;
SHED : 'shed' ;
BY : 'by' ;
TOP : 'top' ;
LAST : 'last' ;
SECONDS : 'seconds' ;
CHANGE : 'change' ;
EXPLAIN : 'explain' ;
REQUEST : 'request' ;
HELP : 'help' ;
NOT : 'not' ;
IDEMPOTENT : 'idempotent' ;
DEADLINE : 'deadline' ;
MS : 'ms' ;
HOST : 'host' ;
DOMAIN : 'domain' ;
REASON : 'reason' ;
TEAM : 'team' ;
TEAMS : 'teams' ;
REMOVE : 'remove' ;
RATE : 'rate' ;
BURST : 'burst' ;
KEYS : 'keys' ;

NUMBER : [0-9]+ ;
WORD : [a-z0-9_] [a-z0-9_.~#@:-]* ;
SPACE : [ \t\r\n]+ -> skip ;
COMMENT : '--' ~[\r\n]* -> skip ;
OTHER : . ;

// Generated from language/src/main/antlr/Operator.g4 by ANTLR 4.13.2
package org.anvillatch.language.grammar;
import org.antlr.v4.runtime.atn.*;
import org.antlr.v4.runtime.dfa.DFA;
import org.antlr.v4.runtime.*;
import org.antlr.v4.runtime.misc.*;
import org.antlr.v4.runtime.tree.*;
import java.util.List;
import java.util.Iterator;
import java.util.ArrayList;

@SuppressWarnings({"all", "warnings", "unchecked", "unused", "cast", "CheckReturnValue", "this-escape"})
public class OperatorParser extends Parser {
	static { RuntimeMetaData.checkVersion("4.13.2", RuntimeMetaData.VERSION); }

	protected static final DFA[] _decisionToDFA;
	protected static final PredictionContextCache _sharedContextCache =
		new PredictionContextCache();
	public static final int
		T__0=1, T__1=2, T__2=3, T__3=4, IF=5, VERSION=6, IMPORTANCE=7, ORDER=8, 
		OPERATION=9, RETRY=10, BOUND=11, DRAIN=12, RETURN=13, QUARANTINE=14, RELEASE=15, 
		SHOW=16, CONFIGURATION=17, HISTORY=18, HOSTS=19, SHED=20, BY=21, TOP=22, 
		LAST=23, SECONDS=24, CHANGE=25, EXPLAIN=26, REQUEST=27, HELP=28, NOT=29, 
		IDEMPOTENT=30, DEADLINE=31, MS=32, HOST=33, DOMAIN=34, REASON=35, TEAM=36, 
		TEAMS=37, REMOVE=38, RATE=39, BURST=40, KEYS=41, NUMBER=42, WORD=43, SPACE=44, 
		COMMENT=45, OTHER=46;
	public static final int
		RULE_script = 0, RULE_condition = 1, RULE_statement = 2, RULE_topic = 3, 
		RULE_operationPart = 4, RULE_teamPart = 5, RULE_scope = 6, RULE_grouping = 7, 
		RULE_number = 8, RULE_name = 9;
	private static String[] makeRuleNames() {
		return new String[] {
			"script", "condition", "statement", "topic", "operationPart", "teamPart", 
			"scope", "grouping", "number", "name"
		};
	}
	public static final String[] ruleNames = makeRuleNames();

	private static String[] makeLiteralNames() {
		return new String[] {
			null, "';'", "'<'", "'/'", "','", "'if'", "'version'", "'importance'", 
			"'order'", "'operation'", "'retry'", "'bound'", "'drain'", "'return'", 
			"'quarantine'", "'release'", "'show'", "'configuration'", "'history'", 
			"'hosts'", "'shed'", "'by'", "'top'", "'last'", "'seconds'", "'change'", 
			"'explain'", "'request'", "'help'", "'not'", "'idempotent'", "'deadline'", 
			"'ms'", "'host'", "'domain'", "'reason'", "'team'", "'teams'", "'remove'", 
			"'rate'", "'burst'", "'keys'"
		};
	}
	private static final String[] _LITERAL_NAMES = makeLiteralNames();
	private static String[] makeSymbolicNames() {
		return new String[] {
			null, null, null, null, null, "IF", "VERSION", "IMPORTANCE", "ORDER", 
			"OPERATION", "RETRY", "BOUND", "DRAIN", "RETURN", "QUARANTINE", "RELEASE", 
			"SHOW", "CONFIGURATION", "HISTORY", "HOSTS", "SHED", "BY", "TOP", "LAST", 
			"SECONDS", "CHANGE", "EXPLAIN", "REQUEST", "HELP", "NOT", "IDEMPOTENT", 
			"DEADLINE", "MS", "HOST", "DOMAIN", "REASON", "TEAM", "TEAMS", "REMOVE", 
			"RATE", "BURST", "KEYS", "NUMBER", "WORD", "SPACE", "COMMENT", "OTHER"
		};
	}
	private static final String[] _SYMBOLIC_NAMES = makeSymbolicNames();
	public static final Vocabulary VOCABULARY = new VocabularyImpl(_LITERAL_NAMES, _SYMBOLIC_NAMES);

	/**
	 * @deprecated Use {@link #VOCABULARY} instead.
	 */
	@Deprecated
	public static final String[] tokenNames;
	static {
		tokenNames = new String[_SYMBOLIC_NAMES.length];
		for (int i = 0; i < tokenNames.length; i++) {
			tokenNames[i] = VOCABULARY.getLiteralName(i);
			if (tokenNames[i] == null) {
				tokenNames[i] = VOCABULARY.getSymbolicName(i);
			}

			if (tokenNames[i] == null) {
				tokenNames[i] = "<INVALID>";
			}
		}
	}

	@Override
	@Deprecated
	public String[] getTokenNames() {
		return tokenNames;
	}

	@Override

	public Vocabulary getVocabulary() {
		return VOCABULARY;
	}

	@Override
	public String getGrammarFileName() { return "Operator.g4"; }

	@Override
	public String[] getRuleNames() { return ruleNames; }

	@Override
	public String getSerializedATN() { return _serializedATN; }

	@Override
	public ATN getATN() { return _ATN; }

	public OperatorParser(TokenStream input) {
		super(input);
		_interp = new ParserATNSimulator(this,_ATN,_decisionToDFA,_sharedContextCache);
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ScriptContext extends ParserRuleContext {
		public List<StatementContext> statement() {
			return getRuleContexts(StatementContext.class);
		}
		public StatementContext statement(int i) {
			return getRuleContext(StatementContext.class,i);
		}
		public TerminalNode EOF() { return getToken(OperatorParser.EOF, 0); }
		public ConditionContext condition() {
			return getRuleContext(ConditionContext.class,0);
		}
		public ScriptContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_script; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitScript(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ScriptContext script() throws RecognitionException {
		ScriptContext _localctx = new ScriptContext(_ctx, getState());
		enterRule(_localctx, 0, RULE_script);
		int _la;
		try {
			int _alt;
			enterOuterAlt(_localctx, 1);
			{
			setState(21);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==IF) {
				{
				setState(20);
				condition();
				}
			}

			setState(23);
			statement();
			setState(28);
			_errHandler.sync(this);
			_alt = getInterpreter().adaptivePredict(_input,1,_ctx);
			while ( _alt!=2 && _alt!=org.antlr.v4.runtime.atn.ATN.INVALID_ALT_NUMBER ) {
				if ( _alt==1 ) {
					{
					{
					setState(24);
					match(T__0);
					setState(25);
					statement();
					}
					} 
				}
				setState(30);
				_errHandler.sync(this);
				_alt = getInterpreter().adaptivePredict(_input,1,_ctx);
			}
			setState(32);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==T__0) {
				{
				setState(31);
				match(T__0);
				}
			}

			setState(34);
			match(EOF);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ConditionContext extends ParserRuleContext {
		public TerminalNode IF() { return getToken(OperatorParser.IF, 0); }
		public TerminalNode VERSION() { return getToken(OperatorParser.VERSION, 0); }
		public NumberContext number() {
			return getRuleContext(NumberContext.class,0);
		}
		public ConditionContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_condition; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitCondition(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ConditionContext condition() throws RecognitionException {
		ConditionContext _localctx = new ConditionContext(_ctx, getState());
		enterRule(_localctx, 2, RULE_condition);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(36);
			match(IF);
			setState(37);
			match(VERSION);
			setState(38);
			number();
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class StatementContext extends ParserRuleContext {
		public StatementContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_statement; }
	 
		public StatementContext() { }
		public void copyFrom(StatementContext ctx) {
			super.copyFrom(ctx);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ExplainContext extends StatementContext {
		public TerminalNode EXPLAIN() { return getToken(OperatorParser.EXPLAIN, 0); }
		public TerminalNode REQUEST() { return getToken(OperatorParser.REQUEST, 0); }
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public ExplainContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitExplain(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class HelpContext extends StatementContext {
		public TerminalNode HELP() { return getToken(OperatorParser.HELP, 0); }
		public HelpContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitHelp(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ReturnToServiceContext extends StatementContext {
		public TerminalNode RETURN() { return getToken(OperatorParser.RETURN, 0); }
		public ScopeContext scope() {
			return getRuleContext(ScopeContext.class,0);
		}
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public ReturnToServiceContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitReturnToService(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class RetryBoundContext extends StatementContext {
		public TerminalNode RETRY() { return getToken(OperatorParser.RETRY, 0); }
		public TerminalNode BOUND() { return getToken(OperatorParser.BOUND, 0); }
		public NumberContext number() {
			return getRuleContext(NumberContext.class,0);
		}
		public RetryBoundContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRetryBound(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ReleaseContext extends StatementContext {
		public TerminalNode RELEASE() { return getToken(OperatorParser.RELEASE, 0); }
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public ReleaseContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRelease(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowContext extends StatementContext {
		public TerminalNode SHOW() { return getToken(OperatorParser.SHOW, 0); }
		public TopicContext topic() {
			return getRuleContext(TopicContext.class,0);
		}
		public ShowContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShow(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class QuarantineContext extends StatementContext {
		public TerminalNode QUARANTINE() { return getToken(OperatorParser.QUARANTINE, 0); }
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public QuarantineContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitQuarantine(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class TeamContext extends StatementContext {
		public TerminalNode TEAM() { return getToken(OperatorParser.TEAM, 0); }
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public List<TeamPartContext> teamPart() {
			return getRuleContexts(TeamPartContext.class);
		}
		public TeamPartContext teamPart(int i) {
			return getRuleContext(TeamPartContext.class,i);
		}
		public TeamContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitTeam(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class RemoveTeamContext extends StatementContext {
		public TerminalNode REMOVE() { return getToken(OperatorParser.REMOVE, 0); }
		public TerminalNode TEAM() { return getToken(OperatorParser.TEAM, 0); }
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public RemoveTeamContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitRemoveTeam(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ImportanceOrderContext extends StatementContext {
		public TerminalNode IMPORTANCE() { return getToken(OperatorParser.IMPORTANCE, 0); }
		public TerminalNode ORDER() { return getToken(OperatorParser.ORDER, 0); }
		public List<NameContext> name() {
			return getRuleContexts(NameContext.class);
		}
		public NameContext name(int i) {
			return getRuleContext(NameContext.class,i);
		}
		public ImportanceOrderContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitImportanceOrder(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class OperationContext extends StatementContext {
		public TerminalNode OPERATION() { return getToken(OperatorParser.OPERATION, 0); }
		public List<NameContext> name() {
			return getRuleContexts(NameContext.class);
		}
		public NameContext name(int i) {
			return getRuleContext(NameContext.class,i);
		}
		public List<OperationPartContext> operationPart() {
			return getRuleContexts(OperationPartContext.class);
		}
		public OperationPartContext operationPart(int i) {
			return getRuleContext(OperationPartContext.class,i);
		}
		public OperationContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitOperation(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class DrainContext extends StatementContext {
		public TerminalNode DRAIN() { return getToken(OperatorParser.DRAIN, 0); }
		public ScopeContext scope() {
			return getRuleContext(ScopeContext.class,0);
		}
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public DrainContext(StatementContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitDrain(this);
			else return visitor.visitChildren(this);
		}
	}

	public final StatementContext statement() throws RecognitionException {
		StatementContext _localctx = new StatementContext(_ctx, getState());
		enterRule(_localctx, 4, RULE_statement);
		int _la;
		try {
			setState(92);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case IMPORTANCE:
				_localctx = new ImportanceOrderContext(_localctx);
				enterOuterAlt(_localctx, 1);
				{
				setState(40);
				match(IMPORTANCE);
				setState(41);
				match(ORDER);
				setState(42);
				name();
				setState(47);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while (_la==T__1) {
					{
					{
					setState(43);
					match(T__1);
					setState(44);
					name();
					}
					}
					setState(49);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case OPERATION:
				_localctx = new OperationContext(_localctx);
				enterOuterAlt(_localctx, 2);
				{
				setState(50);
				match(OPERATION);
				setState(51);
				name();
				setState(52);
				match(T__2);
				setState(53);
				name();
				setState(57);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while ((((_la) & ~0x3f) == 0 && ((1L << _la) & 3758096512L) != 0)) {
					{
					{
					setState(54);
					operationPart();
					}
					}
					setState(59);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case RETRY:
				_localctx = new RetryBoundContext(_localctx);
				enterOuterAlt(_localctx, 3);
				{
				setState(60);
				match(RETRY);
				setState(61);
				match(BOUND);
				setState(62);
				number();
				}
				break;
			case DRAIN:
				_localctx = new DrainContext(_localctx);
				enterOuterAlt(_localctx, 4);
				{
				setState(63);
				match(DRAIN);
				setState(64);
				scope();
				setState(65);
				name();
				}
				break;
			case RETURN:
				_localctx = new ReturnToServiceContext(_localctx);
				enterOuterAlt(_localctx, 5);
				{
				setState(67);
				match(RETURN);
				setState(68);
				scope();
				setState(69);
				name();
				}
				break;
			case TEAM:
				_localctx = new TeamContext(_localctx);
				enterOuterAlt(_localctx, 6);
				{
				setState(71);
				match(TEAM);
				setState(72);
				name();
				setState(76);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while ((((_la) & ~0x3f) == 0 && ((1L << _la) & 2748779069568L) != 0)) {
					{
					{
					setState(73);
					teamPart();
					}
					}
					setState(78);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case REMOVE:
				_localctx = new RemoveTeamContext(_localctx);
				enterOuterAlt(_localctx, 7);
				{
				setState(79);
				match(REMOVE);
				setState(80);
				match(TEAM);
				setState(81);
				name();
				}
				break;
			case QUARANTINE:
				_localctx = new QuarantineContext(_localctx);
				enterOuterAlt(_localctx, 8);
				{
				setState(82);
				match(QUARANTINE);
				setState(83);
				name();
				}
				break;
			case RELEASE:
				_localctx = new ReleaseContext(_localctx);
				enterOuterAlt(_localctx, 9);
				{
				setState(84);
				match(RELEASE);
				setState(85);
				name();
				}
				break;
			case SHOW:
				_localctx = new ShowContext(_localctx);
				enterOuterAlt(_localctx, 10);
				{
				setState(86);
				match(SHOW);
				setState(87);
				topic();
				}
				break;
			case EXPLAIN:
				_localctx = new ExplainContext(_localctx);
				enterOuterAlt(_localctx, 11);
				{
				setState(88);
				match(EXPLAIN);
				setState(89);
				match(REQUEST);
				setState(90);
				name();
				}
				break;
			case HELP:
				_localctx = new HelpContext(_localctx);
				enterOuterAlt(_localctx, 12);
				{
				setState(91);
				match(HELP);
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class TopicContext extends ParserRuleContext {
		public TopicContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_topic; }
	 
		public TopicContext() { }
		public void copyFrom(TopicContext ctx) {
			super.copyFrom(ctx);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowTeamsContext extends TopicContext {
		public TerminalNode TEAMS() { return getToken(OperatorParser.TEAMS, 0); }
		public ShowTeamsContext(TopicContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShowTeams(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowQuarantineContext extends TopicContext {
		public TerminalNode QUARANTINE() { return getToken(OperatorParser.QUARANTINE, 0); }
		public ShowQuarantineContext(TopicContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShowQuarantine(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowChangeContext extends TopicContext {
		public TerminalNode CHANGE() { return getToken(OperatorParser.CHANGE, 0); }
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public ShowChangeContext(TopicContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShowChange(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowHistoryContext extends TopicContext {
		public TerminalNode HISTORY() { return getToken(OperatorParser.HISTORY, 0); }
		public ShowHistoryContext(TopicContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShowHistory(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowConfigurationContext extends TopicContext {
		public TerminalNode CONFIGURATION() { return getToken(OperatorParser.CONFIGURATION, 0); }
		public ShowConfigurationContext(TopicContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShowConfiguration(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowHostsContext extends TopicContext {
		public TerminalNode HOSTS() { return getToken(OperatorParser.HOSTS, 0); }
		public ShowHostsContext(TopicContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShowHosts(this);
			else return visitor.visitChildren(this);
		}
	}
	@SuppressWarnings("CheckReturnValue")
	public static class ShowShedContext extends TopicContext {
		public TerminalNode SHED() { return getToken(OperatorParser.SHED, 0); }
		public TerminalNode BY() { return getToken(OperatorParser.BY, 0); }
		public GroupingContext grouping() {
			return getRuleContext(GroupingContext.class,0);
		}
		public TerminalNode TOP() { return getToken(OperatorParser.TOP, 0); }
		public List<NumberContext> number() {
			return getRuleContexts(NumberContext.class);
		}
		public NumberContext number(int i) {
			return getRuleContext(NumberContext.class,i);
		}
		public TerminalNode LAST() { return getToken(OperatorParser.LAST, 0); }
		public TerminalNode SECONDS() { return getToken(OperatorParser.SECONDS, 0); }
		public ShowShedContext(TopicContext ctx) { copyFrom(ctx); }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitShowShed(this);
			else return visitor.visitChildren(this);
		}
	}

	public final TopicContext topic() throws RecognitionException {
		TopicContext _localctx = new TopicContext(_ctx, getState());
		enterRule(_localctx, 6, RULE_topic);
		int _la;
		try {
			setState(116);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case CONFIGURATION:
				_localctx = new ShowConfigurationContext(_localctx);
				enterOuterAlt(_localctx, 1);
				{
				setState(94);
				match(CONFIGURATION);
				}
				break;
			case HISTORY:
				_localctx = new ShowHistoryContext(_localctx);
				enterOuterAlt(_localctx, 2);
				{
				setState(95);
				match(HISTORY);
				}
				break;
			case HOSTS:
				_localctx = new ShowHostsContext(_localctx);
				enterOuterAlt(_localctx, 3);
				{
				setState(96);
				match(HOSTS);
				}
				break;
			case TEAMS:
				_localctx = new ShowTeamsContext(_localctx);
				enterOuterAlt(_localctx, 4);
				{
				setState(97);
				match(TEAMS);
				}
				break;
			case QUARANTINE:
				_localctx = new ShowQuarantineContext(_localctx);
				enterOuterAlt(_localctx, 5);
				{
				setState(98);
				match(QUARANTINE);
				}
				break;
			case SHED:
				_localctx = new ShowShedContext(_localctx);
				enterOuterAlt(_localctx, 6);
				{
				setState(99);
				match(SHED);
				setState(102);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==BY) {
					{
					setState(100);
					match(BY);
					setState(101);
					grouping();
					}
				}

				setState(106);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==TOP) {
					{
					setState(104);
					match(TOP);
					setState(105);
					number();
					}
				}

				setState(112);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==LAST) {
					{
					setState(108);
					match(LAST);
					setState(109);
					number();
					setState(110);
					match(SECONDS);
					}
				}

				}
				break;
			case CHANGE:
				_localctx = new ShowChangeContext(_localctx);
				enterOuterAlt(_localctx, 7);
				{
				setState(114);
				match(CHANGE);
				setState(115);
				name();
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class OperationPartContext extends ParserRuleContext {
		public TerminalNode IMPORTANCE() { return getToken(OperatorParser.IMPORTANCE, 0); }
		public NameContext name() {
			return getRuleContext(NameContext.class,0);
		}
		public TerminalNode IDEMPOTENT() { return getToken(OperatorParser.IDEMPOTENT, 0); }
		public TerminalNode NOT() { return getToken(OperatorParser.NOT, 0); }
		public TerminalNode DEADLINE() { return getToken(OperatorParser.DEADLINE, 0); }
		public NumberContext number() {
			return getRuleContext(NumberContext.class,0);
		}
		public TerminalNode MS() { return getToken(OperatorParser.MS, 0); }
		public OperationPartContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_operationPart; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitOperationPart(this);
			else return visitor.visitChildren(this);
		}
	}

	public final OperationPartContext operationPart() throws RecognitionException {
		OperationPartContext _localctx = new OperationPartContext(_ctx, getState());
		enterRule(_localctx, 8, RULE_operationPart);
		int _la;
		try {
			setState(128);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case IMPORTANCE:
				enterOuterAlt(_localctx, 1);
				{
				setState(118);
				match(IMPORTANCE);
				setState(119);
				name();
				}
				break;
			case NOT:
			case IDEMPOTENT:
				enterOuterAlt(_localctx, 2);
				{
				setState(121);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==NOT) {
					{
					setState(120);
					match(NOT);
					}
				}

				setState(123);
				match(IDEMPOTENT);
				}
				break;
			case DEADLINE:
				enterOuterAlt(_localctx, 3);
				{
				setState(124);
				match(DEADLINE);
				setState(125);
				number();
				setState(126);
				match(MS);
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class TeamPartContext extends ParserRuleContext {
		public TerminalNode IMPORTANCE() { return getToken(OperatorParser.IMPORTANCE, 0); }
		public List<NameContext> name() {
			return getRuleContexts(NameContext.class);
		}
		public NameContext name(int i) {
			return getRuleContext(NameContext.class,i);
		}
		public TerminalNode RATE() { return getToken(OperatorParser.RATE, 0); }
		public List<NumberContext> number() {
			return getRuleContexts(NumberContext.class);
		}
		public NumberContext number(int i) {
			return getRuleContext(NumberContext.class,i);
		}
		public TerminalNode BURST() { return getToken(OperatorParser.BURST, 0); }
		public TerminalNode KEYS() { return getToken(OperatorParser.KEYS, 0); }
		public TeamPartContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_teamPart; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitTeamPart(this);
			else return visitor.visitChildren(this);
		}
	}

	public final TeamPartContext teamPart() throws RecognitionException {
		TeamPartContext _localctx = new TeamPartContext(_ctx, getState());
		enterRule(_localctx, 10, RULE_teamPart);
		int _la;
		try {
			setState(147);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case IMPORTANCE:
				enterOuterAlt(_localctx, 1);
				{
				setState(130);
				match(IMPORTANCE);
				setState(131);
				name();
				}
				break;
			case RATE:
				enterOuterAlt(_localctx, 2);
				{
				setState(132);
				match(RATE);
				setState(133);
				number();
				setState(136);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==BURST) {
					{
					setState(134);
					match(BURST);
					setState(135);
					number();
					}
				}

				}
				break;
			case KEYS:
				enterOuterAlt(_localctx, 3);
				{
				setState(138);
				match(KEYS);
				setState(139);
				name();
				setState(144);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while (_la==T__3) {
					{
					{
					setState(140);
					match(T__3);
					setState(141);
					name();
					}
					}
					setState(146);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			default:
				throw new NoViableAltException(this);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class ScopeContext extends ParserRuleContext {
		public TerminalNode HOST() { return getToken(OperatorParser.HOST, 0); }
		public TerminalNode DOMAIN() { return getToken(OperatorParser.DOMAIN, 0); }
		public ScopeContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_scope; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitScope(this);
			else return visitor.visitChildren(this);
		}
	}

	public final ScopeContext scope() throws RecognitionException {
		ScopeContext _localctx = new ScopeContext(_ctx, getState());
		enterRule(_localctx, 12, RULE_scope);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(149);
			_la = _input.LA(1);
			if ( !(_la==HOST || _la==DOMAIN) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class GroupingContext extends ParserRuleContext {
		public TerminalNode HOST() { return getToken(OperatorParser.HOST, 0); }
		public TerminalNode OPERATION() { return getToken(OperatorParser.OPERATION, 0); }
		public TerminalNode IMPORTANCE() { return getToken(OperatorParser.IMPORTANCE, 0); }
		public TerminalNode REASON() { return getToken(OperatorParser.REASON, 0); }
		public GroupingContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_grouping; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitGrouping(this);
			else return visitor.visitChildren(this);
		}
	}

	public final GroupingContext grouping() throws RecognitionException {
		GroupingContext _localctx = new GroupingContext(_ctx, getState());
		enterRule(_localctx, 14, RULE_grouping);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(151);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 42949673600L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class NumberContext extends ParserRuleContext {
		public TerminalNode NUMBER() { return getToken(OperatorParser.NUMBER, 0); }
		public NumberContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_number; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitNumber(this);
			else return visitor.visitChildren(this);
		}
	}

	public final NumberContext number() throws RecognitionException {
		NumberContext _localctx = new NumberContext(_ctx, getState());
		enterRule(_localctx, 16, RULE_number);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(153);
			match(NUMBER);
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	@SuppressWarnings("CheckReturnValue")
	public static class NameContext extends ParserRuleContext {
		public TerminalNode WORD() { return getToken(OperatorParser.WORD, 0); }
		public TerminalNode NUMBER() { return getToken(OperatorParser.NUMBER, 0); }
		public TerminalNode IF() { return getToken(OperatorParser.IF, 0); }
		public TerminalNode VERSION() { return getToken(OperatorParser.VERSION, 0); }
		public TerminalNode IMPORTANCE() { return getToken(OperatorParser.IMPORTANCE, 0); }
		public TerminalNode ORDER() { return getToken(OperatorParser.ORDER, 0); }
		public TerminalNode OPERATION() { return getToken(OperatorParser.OPERATION, 0); }
		public TerminalNode RETRY() { return getToken(OperatorParser.RETRY, 0); }
		public TerminalNode BOUND() { return getToken(OperatorParser.BOUND, 0); }
		public TerminalNode DRAIN() { return getToken(OperatorParser.DRAIN, 0); }
		public TerminalNode RETURN() { return getToken(OperatorParser.RETURN, 0); }
		public TerminalNode QUARANTINE() { return getToken(OperatorParser.QUARANTINE, 0); }
		public TerminalNode RELEASE() { return getToken(OperatorParser.RELEASE, 0); }
		public TerminalNode SHOW() { return getToken(OperatorParser.SHOW, 0); }
		public TerminalNode CONFIGURATION() { return getToken(OperatorParser.CONFIGURATION, 0); }
		public TerminalNode HISTORY() { return getToken(OperatorParser.HISTORY, 0); }
		public TerminalNode HOSTS() { return getToken(OperatorParser.HOSTS, 0); }
		public TerminalNode SHED() { return getToken(OperatorParser.SHED, 0); }
		public TerminalNode BY() { return getToken(OperatorParser.BY, 0); }
		public TerminalNode TOP() { return getToken(OperatorParser.TOP, 0); }
		public TerminalNode LAST() { return getToken(OperatorParser.LAST, 0); }
		public TerminalNode SECONDS() { return getToken(OperatorParser.SECONDS, 0); }
		public TerminalNode CHANGE() { return getToken(OperatorParser.CHANGE, 0); }
		public TerminalNode EXPLAIN() { return getToken(OperatorParser.EXPLAIN, 0); }
		public TerminalNode REQUEST() { return getToken(OperatorParser.REQUEST, 0); }
		public TerminalNode HELP() { return getToken(OperatorParser.HELP, 0); }
		public TerminalNode NOT() { return getToken(OperatorParser.NOT, 0); }
		public TerminalNode IDEMPOTENT() { return getToken(OperatorParser.IDEMPOTENT, 0); }
		public TerminalNode DEADLINE() { return getToken(OperatorParser.DEADLINE, 0); }
		public TerminalNode MS() { return getToken(OperatorParser.MS, 0); }
		public TerminalNode HOST() { return getToken(OperatorParser.HOST, 0); }
		public TerminalNode DOMAIN() { return getToken(OperatorParser.DOMAIN, 0); }
		public TerminalNode REASON() { return getToken(OperatorParser.REASON, 0); }
		public TerminalNode TEAM() { return getToken(OperatorParser.TEAM, 0); }
		public TerminalNode TEAMS() { return getToken(OperatorParser.TEAMS, 0); }
		public TerminalNode REMOVE() { return getToken(OperatorParser.REMOVE, 0); }
		public TerminalNode RATE() { return getToken(OperatorParser.RATE, 0); }
		public TerminalNode BURST() { return getToken(OperatorParser.BURST, 0); }
		public TerminalNode KEYS() { return getToken(OperatorParser.KEYS, 0); }
		public NameContext(ParserRuleContext parent, int invokingState) {
			super(parent, invokingState);
		}
		@Override public int getRuleIndex() { return RULE_name; }
		@Override
		public <T> T accept(ParseTreeVisitor<? extends T> visitor) {
			if ( visitor instanceof OperatorVisitor ) return ((OperatorVisitor<? extends T>)visitor).visitName(this);
			else return visitor.visitChildren(this);
		}
	}

	public final NameContext name() throws RecognitionException {
		NameContext _localctx = new NameContext(_ctx, getState());
		enterRule(_localctx, 18, RULE_name);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(155);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 17592186044384L) != 0)) ) {
			_errHandler.recoverInline(this);
			}
			else {
				if ( _input.LA(1)==Token.EOF ) matchedEOF = true;
				_errHandler.reportMatch(this);
				consume();
			}
			}
		}
		catch (RecognitionException re) {
			_localctx.exception = re;
			_errHandler.reportError(this, re);
			_errHandler.recover(this, re);
		}
		finally {
			exitRule();
		}
		return _localctx;
	}

	public static final String _serializedATN =
		"\u0004\u0001.\u009e\u0002\u0000\u0007\u0000\u0002\u0001\u0007\u0001\u0002"+
		"\u0002\u0007\u0002\u0002\u0003\u0007\u0003\u0002\u0004\u0007\u0004\u0002"+
		"\u0005\u0007\u0005\u0002\u0006\u0007\u0006\u0002\u0007\u0007\u0007\u0002"+
		"\b\u0007\b\u0002\t\u0007\t\u0001\u0000\u0003\u0000\u0016\b\u0000\u0001"+
		"\u0000\u0001\u0000\u0001\u0000\u0005\u0000\u001b\b\u0000\n\u0000\f\u0000"+
		"\u001e\t\u0000\u0001\u0000\u0003\u0000!\b\u0000\u0001\u0000\u0001\u0000"+
		"\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0001\u0002\u0001\u0002"+
		"\u0001\u0002\u0001\u0002\u0001\u0002\u0005\u0002.\b\u0002\n\u0002\f\u0002"+
		"1\t\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002"+
		"\u0005\u00028\b\u0002\n\u0002\f\u0002;\t\u0002\u0001\u0002\u0001\u0002"+
		"\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002"+
		"\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002"+
		"\u0005\u0002K\b\u0002\n\u0002\f\u0002N\t\u0002\u0001\u0002\u0001\u0002"+
		"\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002"+
		"\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0003\u0002"+
		"]\b\u0002\u0001\u0003\u0001\u0003\u0001\u0003\u0001\u0003\u0001\u0003"+
		"\u0001\u0003\u0001\u0003\u0001\u0003\u0003\u0003g\b\u0003\u0001\u0003"+
		"\u0001\u0003\u0003\u0003k\b\u0003\u0001\u0003\u0001\u0003\u0001\u0003"+
		"\u0001\u0003\u0003\u0003q\b\u0003\u0001\u0003\u0001\u0003\u0003\u0003"+
		"u\b\u0003\u0001\u0004\u0001\u0004\u0001\u0004\u0003\u0004z\b\u0004\u0001"+
		"\u0004\u0001\u0004\u0001\u0004\u0001\u0004\u0001\u0004\u0003\u0004\u0081"+
		"\b\u0004\u0001\u0005\u0001\u0005\u0001\u0005\u0001\u0005\u0001\u0005\u0001"+
		"\u0005\u0003\u0005\u0089\b\u0005\u0001\u0005\u0001\u0005\u0001\u0005\u0001"+
		"\u0005\u0005\u0005\u008f\b\u0005\n\u0005\f\u0005\u0092\t\u0005\u0003\u0005"+
		"\u0094\b\u0005\u0001\u0006\u0001\u0006\u0001\u0007\u0001\u0007\u0001\b"+
		"\u0001\b\u0001\t\u0001\t\u0001\t\u0000\u0000\n\u0000\u0002\u0004\u0006"+
		"\b\n\f\u000e\u0010\u0012\u0000\u0003\u0001\u0000!\"\u0004\u0000\u0007"+
		"\u0007\t\t!!##\u0001\u0000\u0005+\u00b4\u0000\u0015\u0001\u0000\u0000"+
		"\u0000\u0002$\u0001\u0000\u0000\u0000\u0004\\\u0001\u0000\u0000\u0000"+
		"\u0006t\u0001\u0000\u0000\u0000\b\u0080\u0001\u0000\u0000\u0000\n\u0093"+
		"\u0001\u0000\u0000\u0000\f\u0095\u0001\u0000\u0000\u0000\u000e\u0097\u0001"+
		"\u0000\u0000\u0000\u0010\u0099\u0001\u0000\u0000\u0000\u0012\u009b\u0001"+
		"\u0000\u0000\u0000\u0014\u0016\u0003\u0002\u0001\u0000\u0015\u0014\u0001"+
		"\u0000\u0000\u0000\u0015\u0016\u0001\u0000\u0000\u0000\u0016\u0017\u0001"+
		"\u0000\u0000\u0000\u0017\u001c\u0003\u0004\u0002\u0000\u0018\u0019\u0005"+
		"\u0001\u0000\u0000\u0019\u001b\u0003\u0004\u0002\u0000\u001a\u0018\u0001"+
		"\u0000\u0000\u0000\u001b\u001e\u0001\u0000\u0000\u0000\u001c\u001a\u0001"+
		"\u0000\u0000\u0000\u001c\u001d\u0001\u0000\u0000\u0000\u001d \u0001\u0000"+
		"\u0000\u0000\u001e\u001c\u0001\u0000\u0000\u0000\u001f!\u0005\u0001\u0000"+
		"\u0000 \u001f\u0001\u0000\u0000\u0000 !\u0001\u0000\u0000\u0000!\"\u0001"+
		"\u0000\u0000\u0000\"#\u0005\u0000\u0000\u0001#\u0001\u0001\u0000\u0000"+
		"\u0000$%\u0005\u0005\u0000\u0000%&\u0005\u0006\u0000\u0000&\'\u0003\u0010"+
		"\b\u0000\'\u0003\u0001\u0000\u0000\u0000()\u0005\u0007\u0000\u0000)*\u0005"+
		"\b\u0000\u0000*/\u0003\u0012\t\u0000+,\u0005\u0002\u0000\u0000,.\u0003"+
		"\u0012\t\u0000-+\u0001\u0000\u0000\u0000.1\u0001\u0000\u0000\u0000/-\u0001"+
		"\u0000\u0000\u0000/0\u0001\u0000\u0000\u00000]\u0001\u0000\u0000\u0000"+
		"1/\u0001\u0000\u0000\u000023\u0005\t\u0000\u000034\u0003\u0012\t\u0000"+
		"45\u0005\u0003\u0000\u000059\u0003\u0012\t\u000068\u0003\b\u0004\u0000"+
		"76\u0001\u0000\u0000\u00008;\u0001\u0000\u0000\u000097\u0001\u0000\u0000"+
		"\u00009:\u0001\u0000\u0000\u0000:]\u0001\u0000\u0000\u0000;9\u0001\u0000"+
		"\u0000\u0000<=\u0005\n\u0000\u0000=>\u0005\u000b\u0000\u0000>]\u0003\u0010"+
		"\b\u0000?@\u0005\f\u0000\u0000@A\u0003\f\u0006\u0000AB\u0003\u0012\t\u0000"+
		"B]\u0001\u0000\u0000\u0000CD\u0005\r\u0000\u0000DE\u0003\f\u0006\u0000"+
		"EF\u0003\u0012\t\u0000F]\u0001\u0000\u0000\u0000GH\u0005$\u0000\u0000"+
		"HL\u0003\u0012\t\u0000IK\u0003\n\u0005\u0000JI\u0001\u0000\u0000\u0000"+
		"KN\u0001\u0000\u0000\u0000LJ\u0001\u0000\u0000\u0000LM\u0001\u0000\u0000"+
		"\u0000M]\u0001\u0000\u0000\u0000NL\u0001\u0000\u0000\u0000OP\u0005&\u0000"+
		"\u0000PQ\u0005$\u0000\u0000Q]\u0003\u0012\t\u0000RS\u0005\u000e\u0000"+
		"\u0000S]\u0003\u0012\t\u0000TU\u0005\u000f\u0000\u0000U]\u0003\u0012\t"+
		"\u0000VW\u0005\u0010\u0000\u0000W]\u0003\u0006\u0003\u0000XY\u0005\u001a"+
		"\u0000\u0000YZ\u0005\u001b\u0000\u0000Z]\u0003\u0012\t\u0000[]\u0005\u001c"+
		"\u0000\u0000\\(\u0001\u0000\u0000\u0000\\2\u0001\u0000\u0000\u0000\\<"+
		"\u0001\u0000\u0000\u0000\\?\u0001\u0000\u0000\u0000\\C\u0001\u0000\u0000"+
		"\u0000\\G\u0001\u0000\u0000\u0000\\O\u0001\u0000\u0000\u0000\\R\u0001"+
		"\u0000\u0000\u0000\\T\u0001\u0000\u0000\u0000\\V\u0001\u0000\u0000\u0000"+
		"\\X\u0001\u0000\u0000\u0000\\[\u0001\u0000\u0000\u0000]\u0005\u0001\u0000"+
		"\u0000\u0000^u\u0005\u0011\u0000\u0000_u\u0005\u0012\u0000\u0000`u\u0005"+
		"\u0013\u0000\u0000au\u0005%\u0000\u0000bu\u0005\u000e\u0000\u0000cf\u0005"+
		"\u0014\u0000\u0000de\u0005\u0015\u0000\u0000eg\u0003\u000e\u0007\u0000"+
		"fd\u0001\u0000\u0000\u0000fg\u0001\u0000\u0000\u0000gj\u0001\u0000\u0000"+
		"\u0000hi\u0005\u0016\u0000\u0000ik\u0003\u0010\b\u0000jh\u0001\u0000\u0000"+
		"\u0000jk\u0001\u0000\u0000\u0000kp\u0001\u0000\u0000\u0000lm\u0005\u0017"+
		"\u0000\u0000mn\u0003\u0010\b\u0000no\u0005\u0018\u0000\u0000oq\u0001\u0000"+
		"\u0000\u0000pl\u0001\u0000\u0000\u0000pq\u0001\u0000\u0000\u0000qu\u0001"+
		"\u0000\u0000\u0000rs\u0005\u0019\u0000\u0000su\u0003\u0012\t\u0000t^\u0001"+
		"\u0000\u0000\u0000t_\u0001\u0000\u0000\u0000t`\u0001\u0000\u0000\u0000"+
		"ta\u0001\u0000\u0000\u0000tb\u0001\u0000\u0000\u0000tc\u0001\u0000\u0000"+
		"\u0000tr\u0001\u0000\u0000\u0000u\u0007\u0001\u0000\u0000\u0000vw\u0005"+
		"\u0007\u0000\u0000w\u0081\u0003\u0012\t\u0000xz\u0005\u001d\u0000\u0000"+
		"yx\u0001\u0000\u0000\u0000yz\u0001\u0000\u0000\u0000z{\u0001\u0000\u0000"+
		"\u0000{\u0081\u0005\u001e\u0000\u0000|}\u0005\u001f\u0000\u0000}~\u0003"+
		"\u0010\b\u0000~\u007f\u0005 \u0000\u0000\u007f\u0081\u0001\u0000\u0000"+
		"\u0000\u0080v\u0001\u0000\u0000\u0000\u0080y\u0001\u0000\u0000\u0000\u0080"+
		"|\u0001\u0000\u0000\u0000\u0081\t\u0001\u0000\u0000\u0000\u0082\u0083"+
		"\u0005\u0007\u0000\u0000\u0083\u0094\u0003\u0012\t\u0000\u0084\u0085\u0005"+
		"\'\u0000\u0000\u0085\u0088\u0003\u0010\b\u0000\u0086\u0087\u0005(\u0000"+
		"\u0000\u0087\u0089\u0003\u0010\b\u0000\u0088\u0086\u0001\u0000\u0000\u0000"+
		"\u0088\u0089\u0001\u0000\u0000\u0000\u0089\u0094\u0001\u0000\u0000\u0000"+
		"\u008a\u008b\u0005)\u0000\u0000\u008b\u0090\u0003\u0012\t\u0000\u008c"+
		"\u008d\u0005\u0004\u0000\u0000\u008d\u008f\u0003\u0012\t\u0000\u008e\u008c"+
		"\u0001\u0000\u0000\u0000\u008f\u0092\u0001\u0000\u0000\u0000\u0090\u008e"+
		"\u0001\u0000\u0000\u0000\u0090\u0091\u0001\u0000\u0000\u0000\u0091\u0094"+
		"\u0001\u0000\u0000\u0000\u0092\u0090\u0001\u0000\u0000\u0000\u0093\u0082"+
		"\u0001\u0000\u0000\u0000\u0093\u0084\u0001\u0000\u0000\u0000\u0093\u008a"+
		"\u0001\u0000\u0000\u0000\u0094\u000b\u0001\u0000\u0000\u0000\u0095\u0096"+
		"\u0007\u0000\u0000\u0000\u0096\r\u0001\u0000\u0000\u0000\u0097\u0098\u0007"+
		"\u0001\u0000\u0000\u0098\u000f\u0001\u0000\u0000\u0000\u0099\u009a\u0005"+
		"*\u0000\u0000\u009a\u0011\u0001\u0000\u0000\u0000\u009b\u009c\u0007\u0002"+
		"\u0000\u0000\u009c\u0013\u0001\u0000\u0000\u0000\u0010\u0015\u001c /9"+
		"L\\fjpty\u0080\u0088\u0090\u0093";
	public static final ATN _ATN =
		new ATNDeserializer().deserialize(_serializedATN.toCharArray());
	static {
		_decisionToDFA = new DFA[_ATN.getNumberOfDecisions()];
		for (int i = 0; i < _ATN.getNumberOfDecisions(); i++) {
			_decisionToDFA[i] = new DFA(_ATN.getDecisionState(i), i);
		}
	}
}
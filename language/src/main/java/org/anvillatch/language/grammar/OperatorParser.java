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
		T__0=1, T__1=2, T__2=3, IF=4, VERSION=5, IMPORTANCE=6, ORDER=7, OPERATION=8, 
		RETRY=9, BOUND=10, DRAIN=11, RETURN=12, QUARANTINE=13, RELEASE=14, SHOW=15, 
		CONFIGURATION=16, HISTORY=17, HOSTS=18, SHED=19, BY=20, TOP=21, LAST=22, 
		SECONDS=23, CHANGE=24, EXPLAIN=25, REQUEST=26, HELP=27, NOT=28, IDEMPOTENT=29, 
		DEADLINE=30, MS=31, HOST=32, DOMAIN=33, REASON=34, NUMBER=35, WORD=36, 
		SPACE=37, COMMENT=38, OTHER=39;
	public static final int
		RULE_script = 0, RULE_condition = 1, RULE_statement = 2, RULE_topic = 3, 
		RULE_operationPart = 4, RULE_scope = 5, RULE_grouping = 6, RULE_number = 7, 
		RULE_name = 8;
	private static String[] makeRuleNames() {
		return new String[] {
			"script", "condition", "statement", "topic", "operationPart", "scope", 
			"grouping", "number", "name"
		};
	}
	public static final String[] ruleNames = makeRuleNames();

	private static String[] makeLiteralNames() {
		return new String[] {
			null, "';'", "'<'", "'/'", "'if'", "'version'", "'importance'", "'order'", 
			"'operation'", "'retry'", "'bound'", "'drain'", "'return'", "'quarantine'", 
			"'release'", "'show'", "'configuration'", "'history'", "'hosts'", "'shed'", 
			"'by'", "'top'", "'last'", "'seconds'", "'change'", "'explain'", "'request'", 
			"'help'", "'not'", "'idempotent'", "'deadline'", "'ms'", "'host'", "'domain'", 
			"'reason'"
		};
	}
	private static final String[] _LITERAL_NAMES = makeLiteralNames();
	private static String[] makeSymbolicNames() {
		return new String[] {
			null, null, null, null, "IF", "VERSION", "IMPORTANCE", "ORDER", "OPERATION", 
			"RETRY", "BOUND", "DRAIN", "RETURN", "QUARANTINE", "RELEASE", "SHOW", 
			"CONFIGURATION", "HISTORY", "HOSTS", "SHED", "BY", "TOP", "LAST", "SECONDS", 
			"CHANGE", "EXPLAIN", "REQUEST", "HELP", "NOT", "IDEMPOTENT", "DEADLINE", 
			"MS", "HOST", "DOMAIN", "REASON", "NUMBER", "WORD", "SPACE", "COMMENT", 
			"OTHER"
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
			setState(19);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==IF) {
				{
				setState(18);
				condition();
				}
			}

			setState(21);
			statement();
			setState(26);
			_errHandler.sync(this);
			_alt = getInterpreter().adaptivePredict(_input,1,_ctx);
			while ( _alt!=2 && _alt!=org.antlr.v4.runtime.atn.ATN.INVALID_ALT_NUMBER ) {
				if ( _alt==1 ) {
					{
					{
					setState(22);
					match(T__0);
					setState(23);
					statement();
					}
					} 
				}
				setState(28);
				_errHandler.sync(this);
				_alt = getInterpreter().adaptivePredict(_input,1,_ctx);
			}
			setState(30);
			_errHandler.sync(this);
			_la = _input.LA(1);
			if (_la==T__0) {
				{
				setState(29);
				match(T__0);
				}
			}

			setState(32);
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
			setState(34);
			match(IF);
			setState(35);
			match(VERSION);
			setState(36);
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
			setState(79);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case IMPORTANCE:
				_localctx = new ImportanceOrderContext(_localctx);
				enterOuterAlt(_localctx, 1);
				{
				setState(38);
				match(IMPORTANCE);
				setState(39);
				match(ORDER);
				setState(40);
				name();
				setState(45);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while (_la==T__1) {
					{
					{
					setState(41);
					match(T__1);
					setState(42);
					name();
					}
					}
					setState(47);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case OPERATION:
				_localctx = new OperationContext(_localctx);
				enterOuterAlt(_localctx, 2);
				{
				setState(48);
				match(OPERATION);
				setState(49);
				name();
				setState(50);
				match(T__2);
				setState(51);
				name();
				setState(55);
				_errHandler.sync(this);
				_la = _input.LA(1);
				while ((((_la) & ~0x3f) == 0 && ((1L << _la) & 1879048256L) != 0)) {
					{
					{
					setState(52);
					operationPart();
					}
					}
					setState(57);
					_errHandler.sync(this);
					_la = _input.LA(1);
				}
				}
				break;
			case RETRY:
				_localctx = new RetryBoundContext(_localctx);
				enterOuterAlt(_localctx, 3);
				{
				setState(58);
				match(RETRY);
				setState(59);
				match(BOUND);
				setState(60);
				number();
				}
				break;
			case DRAIN:
				_localctx = new DrainContext(_localctx);
				enterOuterAlt(_localctx, 4);
				{
				setState(61);
				match(DRAIN);
				setState(62);
				scope();
				setState(63);
				name();
				}
				break;
			case RETURN:
				_localctx = new ReturnToServiceContext(_localctx);
				enterOuterAlt(_localctx, 5);
				{
				setState(65);
				match(RETURN);
				setState(66);
				scope();
				setState(67);
				name();
				}
				break;
			case QUARANTINE:
				_localctx = new QuarantineContext(_localctx);
				enterOuterAlt(_localctx, 6);
				{
				setState(69);
				match(QUARANTINE);
				setState(70);
				name();
				}
				break;
			case RELEASE:
				_localctx = new ReleaseContext(_localctx);
				enterOuterAlt(_localctx, 7);
				{
				setState(71);
				match(RELEASE);
				setState(72);
				name();
				}
				break;
			case SHOW:
				_localctx = new ShowContext(_localctx);
				enterOuterAlt(_localctx, 8);
				{
				setState(73);
				match(SHOW);
				setState(74);
				topic();
				}
				break;
			case EXPLAIN:
				_localctx = new ExplainContext(_localctx);
				enterOuterAlt(_localctx, 9);
				{
				setState(75);
				match(EXPLAIN);
				setState(76);
				match(REQUEST);
				setState(77);
				name();
				}
				break;
			case HELP:
				_localctx = new HelpContext(_localctx);
				enterOuterAlt(_localctx, 10);
				{
				setState(78);
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
			setState(102);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case CONFIGURATION:
				_localctx = new ShowConfigurationContext(_localctx);
				enterOuterAlt(_localctx, 1);
				{
				setState(81);
				match(CONFIGURATION);
				}
				break;
			case HISTORY:
				_localctx = new ShowHistoryContext(_localctx);
				enterOuterAlt(_localctx, 2);
				{
				setState(82);
				match(HISTORY);
				}
				break;
			case HOSTS:
				_localctx = new ShowHostsContext(_localctx);
				enterOuterAlt(_localctx, 3);
				{
				setState(83);
				match(HOSTS);
				}
				break;
			case QUARANTINE:
				_localctx = new ShowQuarantineContext(_localctx);
				enterOuterAlt(_localctx, 4);
				{
				setState(84);
				match(QUARANTINE);
				}
				break;
			case SHED:
				_localctx = new ShowShedContext(_localctx);
				enterOuterAlt(_localctx, 5);
				{
				setState(85);
				match(SHED);
				setState(88);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==BY) {
					{
					setState(86);
					match(BY);
					setState(87);
					grouping();
					}
				}

				setState(92);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==TOP) {
					{
					setState(90);
					match(TOP);
					setState(91);
					number();
					}
				}

				setState(98);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==LAST) {
					{
					setState(94);
					match(LAST);
					setState(95);
					number();
					setState(96);
					match(SECONDS);
					}
				}

				}
				break;
			case CHANGE:
				_localctx = new ShowChangeContext(_localctx);
				enterOuterAlt(_localctx, 6);
				{
				setState(100);
				match(CHANGE);
				setState(101);
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
			setState(114);
			_errHandler.sync(this);
			switch (_input.LA(1)) {
			case IMPORTANCE:
				enterOuterAlt(_localctx, 1);
				{
				setState(104);
				match(IMPORTANCE);
				setState(105);
				name();
				}
				break;
			case NOT:
			case IDEMPOTENT:
				enterOuterAlt(_localctx, 2);
				{
				setState(107);
				_errHandler.sync(this);
				_la = _input.LA(1);
				if (_la==NOT) {
					{
					setState(106);
					match(NOT);
					}
				}

				setState(109);
				match(IDEMPOTENT);
				}
				break;
			case DEADLINE:
				enterOuterAlt(_localctx, 3);
				{
				setState(110);
				match(DEADLINE);
				setState(111);
				number();
				setState(112);
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
		enterRule(_localctx, 10, RULE_scope);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(116);
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
		enterRule(_localctx, 12, RULE_grouping);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(118);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 21474836800L) != 0)) ) {
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
		enterRule(_localctx, 14, RULE_number);
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(120);
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
		enterRule(_localctx, 16, RULE_name);
		int _la;
		try {
			enterOuterAlt(_localctx, 1);
			{
			setState(122);
			_la = _input.LA(1);
			if ( !((((_la) & ~0x3f) == 0 && ((1L << _la) & 137438953456L) != 0)) ) {
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
		"\u0004\u0001\'}\u0002\u0000\u0007\u0000\u0002\u0001\u0007\u0001\u0002"+
		"\u0002\u0007\u0002\u0002\u0003\u0007\u0003\u0002\u0004\u0007\u0004\u0002"+
		"\u0005\u0007\u0005\u0002\u0006\u0007\u0006\u0002\u0007\u0007\u0007\u0002"+
		"\b\u0007\b\u0001\u0000\u0003\u0000\u0014\b\u0000\u0001\u0000\u0001\u0000"+
		"\u0001\u0000\u0005\u0000\u0019\b\u0000\n\u0000\f\u0000\u001c\t\u0000\u0001"+
		"\u0000\u0003\u0000\u001f\b\u0000\u0001\u0000\u0001\u0000\u0001\u0001\u0001"+
		"\u0001\u0001\u0001\u0001\u0001\u0001\u0002\u0001\u0002\u0001\u0002\u0001"+
		"\u0002\u0001\u0002\u0005\u0002,\b\u0002\n\u0002\f\u0002/\t\u0002\u0001"+
		"\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0005\u00026\b"+
		"\u0002\n\u0002\f\u00029\t\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001"+
		"\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001"+
		"\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001"+
		"\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0001\u0002\u0003"+
		"\u0002P\b\u0002\u0001\u0003\u0001\u0003\u0001\u0003\u0001\u0003\u0001"+
		"\u0003\u0001\u0003\u0001\u0003\u0003\u0003Y\b\u0003\u0001\u0003\u0001"+
		"\u0003\u0003\u0003]\b\u0003\u0001\u0003\u0001\u0003\u0001\u0003\u0001"+
		"\u0003\u0003\u0003c\b\u0003\u0001\u0003\u0001\u0003\u0003\u0003g\b\u0003"+
		"\u0001\u0004\u0001\u0004\u0001\u0004\u0003\u0004l\b\u0004\u0001\u0004"+
		"\u0001\u0004\u0001\u0004\u0001\u0004\u0001\u0004\u0003\u0004s\b\u0004"+
		"\u0001\u0005\u0001\u0005\u0001\u0006\u0001\u0006\u0001\u0007\u0001\u0007"+
		"\u0001\b\u0001\b\u0001\b\u0000\u0000\t\u0000\u0002\u0004\u0006\b\n\f\u000e"+
		"\u0010\u0000\u0003\u0001\u0000 !\u0004\u0000\u0006\u0006\b\b  \"\"\u0001"+
		"\u0000\u0004$\u008c\u0000\u0013\u0001\u0000\u0000\u0000\u0002\"\u0001"+
		"\u0000\u0000\u0000\u0004O\u0001\u0000\u0000\u0000\u0006f\u0001\u0000\u0000"+
		"\u0000\br\u0001\u0000\u0000\u0000\nt\u0001\u0000\u0000\u0000\fv\u0001"+
		"\u0000\u0000\u0000\u000ex\u0001\u0000\u0000\u0000\u0010z\u0001\u0000\u0000"+
		"\u0000\u0012\u0014\u0003\u0002\u0001\u0000\u0013\u0012\u0001\u0000\u0000"+
		"\u0000\u0013\u0014\u0001\u0000\u0000\u0000\u0014\u0015\u0001\u0000\u0000"+
		"\u0000\u0015\u001a\u0003\u0004\u0002\u0000\u0016\u0017\u0005\u0001\u0000"+
		"\u0000\u0017\u0019\u0003\u0004\u0002\u0000\u0018\u0016\u0001\u0000\u0000"+
		"\u0000\u0019\u001c\u0001\u0000\u0000\u0000\u001a\u0018\u0001\u0000\u0000"+
		"\u0000\u001a\u001b\u0001\u0000\u0000\u0000\u001b\u001e\u0001\u0000\u0000"+
		"\u0000\u001c\u001a\u0001\u0000\u0000\u0000\u001d\u001f\u0005\u0001\u0000"+
		"\u0000\u001e\u001d\u0001\u0000\u0000\u0000\u001e\u001f\u0001\u0000\u0000"+
		"\u0000\u001f \u0001\u0000\u0000\u0000 !\u0005\u0000\u0000\u0001!\u0001"+
		"\u0001\u0000\u0000\u0000\"#\u0005\u0004\u0000\u0000#$\u0005\u0005\u0000"+
		"\u0000$%\u0003\u000e\u0007\u0000%\u0003\u0001\u0000\u0000\u0000&\'\u0005"+
		"\u0006\u0000\u0000\'(\u0005\u0007\u0000\u0000(-\u0003\u0010\b\u0000)*"+
		"\u0005\u0002\u0000\u0000*,\u0003\u0010\b\u0000+)\u0001\u0000\u0000\u0000"+
		",/\u0001\u0000\u0000\u0000-+\u0001\u0000\u0000\u0000-.\u0001\u0000\u0000"+
		"\u0000.P\u0001\u0000\u0000\u0000/-\u0001\u0000\u0000\u000001\u0005\b\u0000"+
		"\u000012\u0003\u0010\b\u000023\u0005\u0003\u0000\u000037\u0003\u0010\b"+
		"\u000046\u0003\b\u0004\u000054\u0001\u0000\u0000\u000069\u0001\u0000\u0000"+
		"\u000075\u0001\u0000\u0000\u000078\u0001\u0000\u0000\u00008P\u0001\u0000"+
		"\u0000\u000097\u0001\u0000\u0000\u0000:;\u0005\t\u0000\u0000;<\u0005\n"+
		"\u0000\u0000<P\u0003\u000e\u0007\u0000=>\u0005\u000b\u0000\u0000>?\u0003"+
		"\n\u0005\u0000?@\u0003\u0010\b\u0000@P\u0001\u0000\u0000\u0000AB\u0005"+
		"\f\u0000\u0000BC\u0003\n\u0005\u0000CD\u0003\u0010\b\u0000DP\u0001\u0000"+
		"\u0000\u0000EF\u0005\r\u0000\u0000FP\u0003\u0010\b\u0000GH\u0005\u000e"+
		"\u0000\u0000HP\u0003\u0010\b\u0000IJ\u0005\u000f\u0000\u0000JP\u0003\u0006"+
		"\u0003\u0000KL\u0005\u0019\u0000\u0000LM\u0005\u001a\u0000\u0000MP\u0003"+
		"\u0010\b\u0000NP\u0005\u001b\u0000\u0000O&\u0001\u0000\u0000\u0000O0\u0001"+
		"\u0000\u0000\u0000O:\u0001\u0000\u0000\u0000O=\u0001\u0000\u0000\u0000"+
		"OA\u0001\u0000\u0000\u0000OE\u0001\u0000\u0000\u0000OG\u0001\u0000\u0000"+
		"\u0000OI\u0001\u0000\u0000\u0000OK\u0001\u0000\u0000\u0000ON\u0001\u0000"+
		"\u0000\u0000P\u0005\u0001\u0000\u0000\u0000Qg\u0005\u0010\u0000\u0000"+
		"Rg\u0005\u0011\u0000\u0000Sg\u0005\u0012\u0000\u0000Tg\u0005\r\u0000\u0000"+
		"UX\u0005\u0013\u0000\u0000VW\u0005\u0014\u0000\u0000WY\u0003\f\u0006\u0000"+
		"XV\u0001\u0000\u0000\u0000XY\u0001\u0000\u0000\u0000Y\\\u0001\u0000\u0000"+
		"\u0000Z[\u0005\u0015\u0000\u0000[]\u0003\u000e\u0007\u0000\\Z\u0001\u0000"+
		"\u0000\u0000\\]\u0001\u0000\u0000\u0000]b\u0001\u0000\u0000\u0000^_\u0005"+
		"\u0016\u0000\u0000_`\u0003\u000e\u0007\u0000`a\u0005\u0017\u0000\u0000"+
		"ac\u0001\u0000\u0000\u0000b^\u0001\u0000\u0000\u0000bc\u0001\u0000\u0000"+
		"\u0000cg\u0001\u0000\u0000\u0000de\u0005\u0018\u0000\u0000eg\u0003\u0010"+
		"\b\u0000fQ\u0001\u0000\u0000\u0000fR\u0001\u0000\u0000\u0000fS\u0001\u0000"+
		"\u0000\u0000fT\u0001\u0000\u0000\u0000fU\u0001\u0000\u0000\u0000fd\u0001"+
		"\u0000\u0000\u0000g\u0007\u0001\u0000\u0000\u0000hi\u0005\u0006\u0000"+
		"\u0000is\u0003\u0010\b\u0000jl\u0005\u001c\u0000\u0000kj\u0001\u0000\u0000"+
		"\u0000kl\u0001\u0000\u0000\u0000lm\u0001\u0000\u0000\u0000ms\u0005\u001d"+
		"\u0000\u0000no\u0005\u001e\u0000\u0000op\u0003\u000e\u0007\u0000pq\u0005"+
		"\u001f\u0000\u0000qs\u0001\u0000\u0000\u0000rh\u0001\u0000\u0000\u0000"+
		"rk\u0001\u0000\u0000\u0000rn\u0001\u0000\u0000\u0000s\t\u0001\u0000\u0000"+
		"\u0000tu\u0007\u0000\u0000\u0000u\u000b\u0001\u0000\u0000\u0000vw\u0007"+
		"\u0001\u0000\u0000w\r\u0001\u0000\u0000\u0000xy\u0005#\u0000\u0000y\u000f"+
		"\u0001\u0000\u0000\u0000z{\u0007\u0002\u0000\u0000{\u0011\u0001\u0000"+
		"\u0000\u0000\f\u0013\u001a\u001e-7OX\\bfkr";
	public static final ATN _ATN =
		new ATNDeserializer().deserialize(_serializedATN.toCharArray());
	static {
		_decisionToDFA = new DFA[_ATN.getNumberOfDecisions()];
		for (int i = 0; i < _ATN.getNumberOfDecisions(); i++) {
			_decisionToDFA[i] = new DFA(_ATN.getDecisionState(i), i);
		}
	}
}
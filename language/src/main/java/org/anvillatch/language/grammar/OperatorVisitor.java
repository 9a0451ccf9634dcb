// Generated from language/src/main/antlr/Operator.g4 by ANTLR 4.13.2
package org.anvillatch.language.grammar;
import org.antlr.v4.runtime.tree.ParseTreeVisitor;

/**
 * This interface defines a complete generic visitor for a parse tree produced
 * by {@link OperatorParser}.
 *
 * @param <T> The return type of the visit operation. Use {@link Void} for
 * operations with no return type.
 */
public interface OperatorVisitor<T> extends ParseTreeVisitor<T> {
	/**
	 * Visit a parse tree produced by {@link OperatorParser#script}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitScript(OperatorParser.ScriptContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#condition}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitCondition(OperatorParser.ConditionContext ctx);
	/**
	 * Visit a parse tree produced by the {@code importanceOrder}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitImportanceOrder(OperatorParser.ImportanceOrderContext ctx);
	/**
	 * Visit a parse tree produced by the {@code operation}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitOperation(OperatorParser.OperationContext ctx);
	/**
	 * Visit a parse tree produced by the {@code retryBound}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRetryBound(OperatorParser.RetryBoundContext ctx);
	/**
	 * Visit a parse tree produced by the {@code drain}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitDrain(OperatorParser.DrainContext ctx);
	/**
	 * Visit a parse tree produced by the {@code returnToService}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitReturnToService(OperatorParser.ReturnToServiceContext ctx);
	/**
	 * Visit a parse tree produced by the {@code team}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitTeam(OperatorParser.TeamContext ctx);
	/**
	 * Visit a parse tree produced by the {@code removeTeam}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRemoveTeam(OperatorParser.RemoveTeamContext ctx);
	/**
	 * Visit a parse tree produced by the {@code quarantine}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitQuarantine(OperatorParser.QuarantineContext ctx);
	/**
	 * Visit a parse tree produced by the {@code release}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitRelease(OperatorParser.ReleaseContext ctx);
	/**
	 * Visit a parse tree produced by the {@code show}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShow(OperatorParser.ShowContext ctx);
	/**
	 * Visit a parse tree produced by the {@code explain}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitExplain(OperatorParser.ExplainContext ctx);
	/**
	 * Visit a parse tree produced by the {@code help}
	 * labeled alternative in {@link OperatorParser#statement}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitHelp(OperatorParser.HelpContext ctx);
	/**
	 * Visit a parse tree produced by the {@code showConfiguration}
	 * labeled alternative in {@link OperatorParser#topic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShowConfiguration(OperatorParser.ShowConfigurationContext ctx);
	/**
	 * Visit a parse tree produced by the {@code showHistory}
	 * labeled alternative in {@link OperatorParser#topic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShowHistory(OperatorParser.ShowHistoryContext ctx);
	/**
	 * Visit a parse tree produced by the {@code showHosts}
	 * labeled alternative in {@link OperatorParser#topic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShowHosts(OperatorParser.ShowHostsContext ctx);
	/**
	 * Visit a parse tree produced by the {@code showTeams}
	 * labeled alternative in {@link OperatorParser#topic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShowTeams(OperatorParser.ShowTeamsContext ctx);
	/**
	 * Visit a parse tree produced by the {@code showQuarantine}
	 * labeled alternative in {@link OperatorParser#topic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShowQuarantine(OperatorParser.ShowQuarantineContext ctx);
	/**
	 * Visit a parse tree produced by the {@code showShed}
	 * labeled alternative in {@link OperatorParser#topic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShowShed(OperatorParser.ShowShedContext ctx);
	/**
	 * Visit a parse tree produced by the {@code showChange}
	 * labeled alternative in {@link OperatorParser#topic}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitShowChange(OperatorParser.ShowChangeContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#operationPart}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitOperationPart(OperatorParser.OperationPartContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#teamPart}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitTeamPart(OperatorParser.TeamPartContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#scope}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitScope(OperatorParser.ScopeContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#grouping}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitGrouping(OperatorParser.GroupingContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#number}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitNumber(OperatorParser.NumberContext ctx);
	/**
	 * Visit a parse tree produced by {@link OperatorParser#name}.
	 * @param ctx the parse tree
	 * @return the visitor result
	 */
	T visitName(OperatorParser.NameContext ctx);
}
import type { LoadReport, WorkerStatement } from "@oleanderdeck/hop";

/**
 * What workers have said in their answers, as the nodes beside them have
 * reported it. It is kept while a link is lost and when the node beside the
 * worker is restarted, which learns it from the calls to it.
 */
export class WorkerStatements {
  readonly #byNode = new Map<string, WorkerStatement>();

  /** Returns what the worker beside a node has said; undefined if nothing. */
  of(node: string): WorkerStatement | undefined {
    return this.#byNode.get(node);
  }

  /**
   * Records the statement in a load report. A report without one says nothing:
   * the node may not have had an answer of the worker yet.
   *
   * @param node Node that sent the report.
   */
  record(node: string, { statement }: LoadReport): void {
    if (statement === undefined) return;
    const { isLeaving, requestsPerSecond } = statement;
    if (isLeaving || requestsPerSecond !== undefined) {
      this.#byNode.set(node, statement);
    } else this.#byNode.delete(node);
  }
}

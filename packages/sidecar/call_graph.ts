import type { NestedCall } from "@oleanderdeck/calling";
import type { RoutePressure } from "@oleanderdeck/hop";

/** Time for which a route counts as leading to another one. */
const EDGE_MS = 5_000;

interface Edge {
  readonly call: NestedCall;
  seenAt: number;
}

/** Routes that the requests at the own worker lead to, as seen in its calls. */
export class CallGraph {
  readonly #edges = new Map<string, Map<string, Edge>>();

  /** Notes a call of the worker. */
  note(call: NestedCall): void {
    let edges = this.#edges.get(call.parentRoute);
    if (edges === undefined) {
      edges = new Map();
      this.#edges.set(call.parentRoute, edges);
    }
    const edge = edges.get(call.route);
    if (edge === undefined) {
      edges.set(call.route, { call, seenAt: performance.now() });
    } else edge.seenAt = performance.now();
  }

  /**
   * Greatest overload that the calls of each route reach, where it exceeds a
   * value.
   *
   * @param pressureOf Overload that the calls of a route to a service reach.
   * @param least Value that is left out, with all below it.
   */
  pressures(
    pressureOf: (service: string, route: string) => number,
    least: number,
  ): readonly RoutePressure[] {
    const since = performance.now() - EDGE_MS;
    return [...this.#edges].flatMap(([parentRoute, edges]) => {
      const reached = [...edges.values()]
        .filter(({ seenAt }) => seenAt > since)
        .map(({ call }) => pressureOf(call.service, call.route));
      const pressure = Math.round(Math.max(0, ...reached) * 100) / 100;
      return pressure > least ? [[parentRoute, pressure] as const] : [];
    });
  }
}

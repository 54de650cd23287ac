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
    return this.#recentCalls().flatMap(([parentRoute, calls]) => {
      const reached = calls.map(({ route, service }) =>
        pressureOf(service, route)
      );
      const pressure = Math.round(Math.max(0, ...reached) * 100) / 100;
      return pressure > least ? [[parentRoute, pressure] as const] : [];
    });
  }

  /**
   * Routes with a call for which a condition holds.
   *
   * @param isMeant Condition on the service and the route of a call.
   */
  routesThatReach(
    isMeant: (service: string, route: string) => boolean,
  ): readonly string[] {
    return this.#recentCalls()
      .filter(([, calls]) =>
        calls.some(({ route, service }) => isMeant(service, route))
      )
      .map(([parentRoute]) => parentRoute);
  }

  #recentCalls(): readonly (readonly [string, readonly NestedCall[]])[] {
    const since = performance.now() - EDGE_MS;
    return [...this.#edges].map(([parentRoute, edges]) => {
      const recent = [...edges.values()].filter(({ seenAt }) => seenAt > since);
      return [parentRoute, recent.map(({ call }) => call)] as const;
    });
  }
}

import type { NestedCall } from "@oleanderdeck/calling";
import type { RoutePressure } from "@oleanderdeck/hop";

/** Time for which a route counts as leading to another one. */
const EDGE_TTL_MS = 5_000;

interface Edge {
  readonly call: NestedCall;
  seenAt: number;
}

/** Routes that the requests at the own worker lead to, as seen in its calls. */
export class CallGraph {
  readonly #edges = new Map<string, Map<string, Edge>>();

  /** Notes a call of the worker. */
  recordCall(call: NestedCall): void {
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
   * @param threshold Value that is left out, with all below it.
   */
  downstreamPressures(
    pressureOf: (service: string, route: string) => number,
    threshold: number,
  ): readonly RoutePressure[] {
    return this.#recentCalls().flatMap(([parentRoute, calls]) => {
      const pressures = calls.map(({ route, service }) =>
        pressureOf(service, route)
      );
      const pressure = Math.round(Math.max(0, ...pressures) * 100) / 100;
      return pressure > threshold ? [[parentRoute, pressure] as const] : [];
    });
  }

  /**
   * Routes with a call for which a condition holds.
   *
   * @param predicate Condition on the service and the route of a call.
   */
  routesThatReach(
    predicate: (service: string, route: string) => boolean,
  ): readonly string[] {
    return this.#recentCalls()
      .filter(([, calls]) =>
        calls.some(({ route, service }) => predicate(service, route))
      )
      .map(([parentRoute]) => parentRoute);
  }

  #recentCalls(): readonly (readonly [string, readonly NestedCall[]])[] {
    const since = performance.now() - EDGE_TTL_MS;
    return [...this.#edges].map(([parentRoute, edges]) => {
      const recent = [...edges.values()].filter(({ seenAt }) => seenAt > since);
      return [parentRoute, recent.map(({ call }) => call)] as const;
    });
  }
}

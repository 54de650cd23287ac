import type { NestedCall } from "@oleanderdeck/calling";
import type {
  AdmissionShare,
  RouteAdmission,
  RoutePressure,
} from "@oleanderdeck/hop";

/** Time after its last call at which an edge expires, in milliseconds. */
const EDGE_TTL_MS = 5_000;

/**
 * The same time for the shares to admit, in milliseconds. Few requests are
 * admitted in a deep overload, and a worker that gets none for a while must not
 * report that its routes reach no overloaded service.
 */
const ADMISSION_EDGE_TTL_MS = 60_000;

/** Call that requests of a parent route lead to. */
interface Edge {
  readonly call: NestedCall;
  seenAt: number;
}

/**
 * Graph of the routes that the local worker serves and the routes that it calls
 * while it runs their requests. Edges expire when no call uses them.
 */
export class CallGraph {
  readonly #edges = new Map<string, Map<string, Edge>>();

  /** Records a call that the local worker makes. */
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
   * Returns the routes of the local worker whose calls reach overloaded
   * services, with the greatest pressure that their calls reach.
   *
   * @param pressureOf Returns the pressure that calls of a route to a service
   * reach, 0 to 1.
   * @param threshold Routes with this pressure or less are left out.
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
   * Returns the routes of the local worker whose calls reach services that admit
   * a part of the requests, with the least share that any of them admits of each
   * priority.
   *
   * @param admissionOf Returns the shares that a service admits of the requests
   * that lead to calls of a route.
   */
  downstreamAdmission(
    admissionOf: (service: string, route: string) => readonly AdmissionShare[],
  ): readonly RouteAdmission[] {
    return this.#recentCalls(ADMISSION_EDGE_TTL_MS).flatMap(
      ([parentRoute, calls]) => {
        const least = new Map<number, number>();
        calls.flatMap(({ route, service }) => admissionOf(service, route))
          .forEach(([priority, share]) =>
            least.set(priority, Math.min(share, least.get(priority) ?? 1))
          );
        return least.size > 0 ? [[parentRoute, [...least]] as const] : [];
      },
    );
  }

  /**
   * Returns the routes of the local worker with a recent call that matches a
   * predicate.
   *
   * @param predicate Receives the service and the route of a call.
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

  #recentCalls(
    withinMs = EDGE_TTL_MS,
  ): readonly (readonly [string, readonly NestedCall[]])[] {
    const since = performance.now() - withinMs;
    return [...this.#edges].map(([parentRoute, edges]) => {
      const recent = [...edges.values()].filter(({ seenAt }) => seenAt > since);
      return [parentRoute, recent.map(({ call }) => call)] as const;
    });
  }
}

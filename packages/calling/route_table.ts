import type { Configuration, Route } from "@oleanderdeck/directory";

/** Service that gets the next request of a split route, and its credit. */
interface ShareCredit {
  readonly service: string;
  readonly weight: number;
  credit: number;
}

/** Finds the route of a request and deals split routes by weight. */
export class RouteTable {
  readonly #byHost = new Map<string, Route[]>();
  readonly #credits = new Map<string, readonly ShareCredit[]>();

  /** @param configuration Configuration whose routes are used. */
  constructor(configuration: Configuration) {
    for (const route of configuration.routes) {
      const routes = this.#byHost.get(route.host);
      if (routes === undefined) this.#byHost.set(route.host, [route]);
      else routes.push(route);
    }
    for (const routes of this.#byHost.values()) {
      routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
  }

  /**
   * Finds the route with the longest prefix of the path.
   *
   * @param host Host of the request, with or without a port.
   * @param target Path and query of the request.
   */
  find(host: string, target: string): Route | undefined {
    const name = host.split(":", 1)[0]!.toLowerCase();
    const path = target.split("?", 1)[0]!;
    return this.#byHost.get(name)?.find(({ pathPrefix }) =>
      path.startsWith(pathPrefix)
    );
  }

  /**
   * Deals the services of a route in turn, so that every run of requests is
   * split by weight as exactly as whole requests allow.
   */
  nextService(route: Route): string | undefined {
    if (route.shares.length <= 1) return route.shares[0]?.service;
    const key = `${route.host} ${route.pathPrefix}`;
    let credits = this.#credits.get(key);
    if (credits === undefined) {
      const total = route.shares.reduce((sum, { weight }) => sum + weight, 0);
      credits = route.shares.map(({ service, weight }) => ({
        service,
        weight,
        // Nodes begin at different points, or few requests on many nodes would
        // all go to the first service.
        credit: Math.random() * total,
      }));
      this.#credits.set(key, credits);
    }
    let total = 0;
    let best: ShareCredit | undefined;
    for (const share of credits) {
      share.credit += share.weight;
      total += share.weight;
      if (
        share.weight > 0 && (best === undefined || share.credit > best.credit)
      ) {
        best = share;
      }
    }
    if (best !== undefined) best.credit -= total;
    return best?.service;
  }
}

import type { Configuration, Route } from "@oleanderdeck/directory";

/** Service of a split route with its weight and its accumulated credit. */
interface ShareCredit {
  readonly service: string;
  readonly weight: number;
  credit: number;
}

/** Finds the route of a request, and distributes split routes by weight. */
export class RouteTable {
  /** Routes of each host by path prefix. */
  readonly #byHost = new Map<string, Map<string, Route>>();
  /** Credits of the services of each split route. */
  readonly #credits = new Map<string, readonly ShareCredit[]>();

  /** @param configuration Configuration whose routes are used. */
  constructor(configuration: Configuration) {
    for (const route of configuration.routes) {
      let routes = this.#byHost.get(route.host);
      if (routes === undefined) {
        routes = new Map();
        this.#byHost.set(route.host, routes);
      }
      if (!routes.has(route.pathPrefix)) routes.set(route.pathPrefix, route);
    }
  }

  /**
   * Finds the route with the longest prefix of the path.
   *
   * @param host Host of the request, with or without a port.
   * @param target Path and query of the request.
   * @returns The route; undefined if none matches.
   */
  find(host: string, target: string): Route | undefined {
    const name = host.split(":", 1)[0]!.toLowerCase();
    const path = target.split("?", 1)[0]!;
    const routes = this.#byHost.get(name);
    if (routes === undefined) return undefined;
    // Every path prefix ends with a slash, so only the slashes of the path need
    // be tried.
    let end = path.lastIndexOf("/");
    while (end >= 0) {
      const route = routes.get(path.slice(0, end + 1));
      if (route !== undefined) return route;
      end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
    }
    return undefined;
  }

  /**
   * Returns the service for the next request of a route by smooth weighted
   * round robin: any sequence of consecutive requests is split by weight as
   * exactly as a whole number of requests allows.
   *
   * @returns The service; undefined if the route has none, or if none of several
   * has a weight above 0.
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
        // Nodes start with different credits; otherwise a few requests on each
        // of many nodes would all go to the first service.
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

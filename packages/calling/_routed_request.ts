import type { Route } from "@oleanderdeck/directory";

/** Header of a request with its route and service. */
export interface RoutedHeader {
  readonly route: Route;
  readonly service: string;
  readonly requestId: string;
  /** Path and query. */
  readonly path: string;
  readonly forwarded: readonly string[];
  /** See `RequestHeader`. */
  readonly identityFields: readonly string[];
  readonly credential: string | undefined;
  /**
   * Time for which the caller waits, in milliseconds, as stated in the header.
   */
  readonly timeLeft: string | undefined;
}

/** Request with its route, its service and its body. */
export interface RoutedRequest extends RoutedHeader {
  readonly body: Buffer;
}

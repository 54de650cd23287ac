import type { ConfigurationHolder } from "@oleanderdeck/directory";
import type {
  HeaderNames,
  MemoryAccount,
  WorkerCall,
} from "@oleanderdeck/serving";
import type {
  CallerProxyObserver,
  NestedCall,
} from "./caller_proxy_observer.ts";
import type { ClientLimits } from "./client_limits.ts";
import type { RequestQuota } from "./request_quota.ts";
import type { WorkerChannel } from "./worker_channel.ts";

/** Options of `CallerProxy`. */
export interface CallerProxyOptions {
  /** Names of the platform's header fields. */
  readonly names: HeaderNames;
  /** Service of the worker on this host, sent to the called workers. */
  readonly callerService: string;
  readonly dataCentre: string;
  readonly configuration: ConfigurationHolder;
  /** Returns the channels to the current workers of a service. */
  readonly channels: (service: string) => readonly WorkerChannel[];
  /**
   * Returns the pressure, 0 to 1: the overload of a service and of the services
   * that calls of a route to it reach.
   */
  readonly pressureOf: (service: string, route: string) => number;
  /**
   * Returns the share to admit of the requests of a priority that begin chains
   * with a route to a service, 0 to 1; undefined if it is to be derived from the
   * pressure.
   */
  readonly admittedShare?: (
    service: string,
    route: string,
    priority: number,
  ) => number | undefined;
  /** Called for each call that the worker makes while it runs a request. */
  readonly onNestedCall: (call: NestedCall) => void;
  /** Account of the memory for bodies, and for answers that wait. */
  readonly account: MemoryAccount;
  /**
   * Returns the request that the worker on this host runs and that led to the
   * call with the given request identity; undefined if the call begins a chain.
   */
  readonly parentRequestOf: (requestId: string) => WorkerCall | undefined;
  /** Called when a call that the worker made for a request was refused. */
  readonly onRefusedBelow: (request: WorkerCall) => void;
  /**
   * Whether the active configuration may be older than the one in the store.
   *
   * @param usesCredential Whether this is asked for a request with a credential.
   */
  readonly isConfigurationPossiblyOutdated: (
    usesCredential?: boolean,
  ) => boolean;
  /**
   * Whether there is a recent enough proof that the active configuration is the
   * latest, so that credentials in it were not taken away; always if absent.
   */
  readonly mayUseCredentials?: () => boolean;
  /**
   * Whether nothing shows that the active configuration is the latest, so that a
   * key that is not in it may be a new one; never if omitted.
   */
  readonly isConfigurationUnconfirmed?: () => boolean;
  /** Called with an error of the listener after its start. */
  readonly onListenerError: (error: Error) => void;
  /** Called with an unexpected error, which ends the request it belongs to. */
  readonly onUnexpectedError: (error: unknown) => void;
  readonly observer?: CallerProxyObserver;
  /** Returns the limits of what clients may occupy; the usual ones if omitted. */
  readonly clientLimits?: () => ClientLimits;
  /** Limits of organisations; none if omitted. */
  readonly quota?: RequestQuota;
}

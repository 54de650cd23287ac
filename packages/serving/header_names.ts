/** Names of the headers that callers, nodes and workers exchange. */
export interface HeaderNames {
  /** Identity of a request, chosen by the caller and echoed by the worker. */
  readonly requestId: string;
  /** Time for which the sender still waits for the answer, in milliseconds. */
  readonly timeLeftMs: string;
  /** Signature of the worker; a success without it is not accepted. */
  readonly answerSignature: string;
  /** Identity of the only worker that may run the request. */
  readonly expectedWorker: string;
  /** Present if the worker states that it did not run the request. */
  readonly notRun: string;
  /**
   * Number of requests a second that the worker takes from all hosts together.
   */
  readonly requestsPerSecond: string;
  /** Has the value 1 if the worker takes no more requests, because it stops. */
  readonly leaving: string;
  /** Service of the worker that made the request. */
  readonly callerService: string;
  /** Credential of the caller's organisation. */
  readonly credential: string;
  /** Name of the organisation that a request belongs to. */
  readonly organisation: string;
}

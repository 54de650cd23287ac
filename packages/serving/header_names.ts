/** Names of the header fields that callers, nodes and workers exchange. */
export interface HeaderNames {
  /** Identity of a request, chosen by the caller and echoed by the worker. */
  readonly requestId: string;
  /** Time for which the sender still waits, in milliseconds. */
  readonly timeLeftMs: string;
  /** Signature of the worker on its answer. */
  readonly answerSignature: string;
  /** Identity of the only worker that may run the request. */
  readonly expectedWorker: string;
  /** Present if the worker states that it did not run the request. */
  readonly notRun: string;
  /** Service beside whose worker the request began. */
  readonly callerService: string;
}

import { type Client, ConnectError, createClient } from "@connectrpc/connect";
import {
  createConnectTransport,
  Http2SessionManager,
} from "@connectrpc/connect-node";
import { OperatorService } from "@oleanderdeck/protocol";
import type { CommandContext } from "./command_context.ts";
import { fromConnectError, usageError } from "./command_error.ts";

/** Client of the operator service. */
export type OperatorClient = Client<typeof OperatorService>;

/** Connection to the control port of a node. */
export class OperatorConnection {
  readonly #sessions: Http2SessionManager;
  /** Address of the node. */
  readonly node: string;
  /** Client that sends the token with every call. */
  readonly client: OperatorClient;

  /**
   * @param context Address, token and timeout.
   * @throws {CommandError} If no token is set or it is empty or contains
   * whitespace.
   */
  constructor(context: CommandContext) {
    const { token } = context;
    if (token === undefined || !/^\S+$/.test(token)) {
      throw usageError(
        "No valid token given: use --token, --token-file or OLEANDERDECK_TOKEN",
      );
    }
    const baseUrl = `http://${context.node}`;
    this.node = context.node;
    this.#sessions = new Http2SessionManager(baseUrl);
    this.client = createClient(
      OperatorService,
      createConnectTransport({
        baseUrl,
        httpVersion: "2",
        sessionManager: this.#sessions,
        defaultTimeoutMs: context.timeoutMs,
        interceptors: [(next) => (request) => {
          request.header.set("authorization", `Bearer ${token}`);
          return next(request);
        }],
      }),
    );
  }

  /**
   * Makes a call and converts its error into the error that ends the command.
   *
   * @param run Makes the call with the client.
   * @returns The response.
   * @throws {CommandError} If the call fails.
   */
  async call<Result>(
    run: (client: OperatorClient) => Promise<Result>,
  ): Promise<Result> {
    try {
      return await run(this.client);
    } catch (error) {
      throw fromConnectError(ConnectError.from(error), this.node);
    }
  }

  /** Closes the connection. */
  close(): void {
    // An idle connection does not keep the process alive, and aborting one that
    // is closing after a GOAWAY frame raises an uncaught exception in
    // connect-node.
    if (this.#sessions.state() !== "idle") this.#sessions.abort();
  }
}

/**
 * Creates a connection, passes it to a function and closes it afterwards.
 *
 * @param context Address, token and timeout.
 * @param use Function that uses the connection.
 * @returns The result of the function.
 */
export async function withConnection<Result>(
  context: CommandContext,
  use: (connection: OperatorConnection) => Promise<Result>,
): Promise<Result> {
  const connection = new OperatorConnection(context);
  try {
    return await use(connection);
  } finally {
    connection.close();
  }
}

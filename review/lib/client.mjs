/** Stand-in of a client, as PROTOCOL.md describes it. */
import { Agent, request as httpRequest } from "node:http";
import { ID } from "./worker.mjs";

let requests = 0;

/** Client that keeps its connections open for many requests. */
export class Client {
  outcomes = [];
  #address;
  #record;
  #name;
  #agent = new Agent({ keepAlive: true, maxSockets: Infinity });

  constructor({ name, address, record }) {
    this.#name = name;
    this.#address = address;
    this.#record = record;
  }

  /**
   * Sends a request and resolves to what came back: `status` is undefined if the
   * connection ended without a complete answer. The client closes its connection
   * at its deadline, or before it, after `leavesAfterMs`.
   */
  send({ method, path, body = "", timeoutMs, leavesAfterMs = Infinity }) {
    const requestId = `${this.#name}-${++requests}`;
    const outcome = {
      requestId,
      path,
      sentAt: this.#record.now,
      status: undefined,
      body: "",
    };
    this.outcomes.push(outcome);
    return new Promise((resolve) => {
      const finish = (error) => {
        if (outcome.endedAt !== undefined) return;
        clearTimeout(timer);
        outcome.endedAt = this.#record.now;
        outcome.error = error;
        this.#record.line(
          `${requestId} ${method} ${path}: ${outcome.status ?? "no answer"} ` +
            `after ${Math.round(outcome.endedAt - outcome.sentAt)} ms` +
            (error ? ` (${error})` : ""),
        );
        resolve(outcome);
      };
      const call = httpRequest({
        ...this.#address,
        agent: this.#agent,
        method,
        path,
        headers: {
          Host: "lunch.example",
          [ID]: requestId,
          "Oleanderdeck-Request-Timeout-Ms": String(timeoutMs),
          "Content-Length": Buffer.byteLength(body),
        },
      }, (response) => {
        const chunks = [];
        response.on("data", (chunk) => chunks.push(chunk));
        response.on("error", (error) => finish(error.message));
        response.on("close", () => {
          if (response.complete) {
            outcome.status = response.statusCode;
            outcome.headers = response.headers;
            outcome.body = Buffer.concat(chunks).toString();
          }
          finish();
        });
      });
      outcome.isReused = false;
      call.on("socket", (socket) => {
        outcome.isReused = call.reusedSocket;
        socket.setNoDelay(true);
      });
      const timer = setTimeout(() => {
        outcome.hasGivenUp = true;
        outcome.leftAt = this.#record.now;
        call.destroy(new Error("the client has left"));
      }, Math.min(timeoutMs, leavesAfterMs));
      call.on("error", (error) => finish(error.message));
      call.end(body);
    });
  }

  close() {
    this.#agent.destroy();
  }
}

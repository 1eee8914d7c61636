/** Which numbers are statuses of responses (RFC 9110, section 15). */

const minStatus = 100;
const minFinalStatus = 200;
const maxStatus = 599;

/** Returns true for the status of an interim or a final response. */
export function isResponseStatus(status: number): boolean {
  return status >= minStatus && status <= maxStatus;
}

/** Returns true for the status of a response that ends its request. */
export function isFinalStatus(status: number): boolean {
  return status >= minFinalStatus && status <= maxStatus;
}

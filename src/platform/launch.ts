/**
 * Starts the router from its compiled code. Most processes of an outage start
 * at once, and callers wait for the compiler otherwise.
 */

import { join } from "node:path";
import { compileBundle } from "../cli/code_cache.ts";

compileBundle(join(__dirname, "router.cjs")).run();

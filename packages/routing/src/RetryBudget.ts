/** Limits retries to a share of answered requests, so that a failing service is not hit harder. */

import { maximumSavedRetries, retryShare } from "./constants";

export class RetryBudget {
    private saved = maximumSavedRetries;

    noteAnswered(): void {
        this.saved = Math.min(maximumSavedRetries, this.saved + retryShare);
    }

    /** Uses one retry; false when none is left. */
    take(): boolean {
        if (this.saved < 1) {
            return false;
        }
        this.saved -= 1;
        return true;
    }
}

/** Splits what a connection receives into lines, and holds the part of a line that has arrived so far. */

import { StringDecoder } from "node:string_decoder";

export class LineReader {
    private readonly decoder = new StringDecoder("utf8");
    /** Joined once the line is complete: joined with each piece, a long line would be copied for each of them. */
    private pieces: string[] = [];
    private pieceCharacters = 0;

    /** Characters of the incomplete line. */
    get heldCharacters(): number {
        return this.pieceCharacters;
    }

    /** The lines that `bytes` complete. */
    read(bytes: Buffer): readonly string[] {
        const lines = this.decoder.write(bytes).split("\n");
        const rest = lines.pop()!;
        if (lines.length > 0) {
            lines[0] = this.pieces.join("") + lines[0]!;
            this.clear();
        }
        if (rest !== "") {
            this.pieces.push(rest);
            this.pieceCharacters += rest.length;
        }
        return lines;
    }

    clear(): void {
        this.pieces = [];
        this.pieceCharacters = 0;
    }
}

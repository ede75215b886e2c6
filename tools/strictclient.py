"""An HTTP client that gives no response whose head is none of HTTP: the standard library's takes a head
that ends early for a whole one, and drops the fields behind a line that it does not know."""
import http.client
import re
import urllib.request

# RFC 9112, 4 and 5; RFC 9110, 5.
STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?\r?\n")
FIELD_LINE = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*\r?\n")
LINE_ENDS = (b"\r\n", b"\n")


class BrokenHead(http.client.HTTPException):
    """The head of a response is none of HTTP."""


class HeadLines:
    """Passes the lines of a file on and checks each as a part of heads, interim ones first."""

    def __init__(self, file):
        self.file = file
        self.in_fields = False

    def readline(self, limit=-1):
        line = self.file.readline(limit)
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(line)
        expected = FIELD_LINE if self.in_fields else STATUS_LINE
        ends_head = self.in_fields and line in LINE_ENDS
        if not ends_head and not expected.fullmatch(line):
            raise BrokenHead(line)
        self.in_fields = not ends_head
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response that fails when its head is none of HTTP."""

    def begin(self):
        if self.headers is not None:
            return
        file = self.fp
        self.fp = HeadLines(file)
        try:
            super().begin()
        finally:
            self.fp = file


class StrictConnection(http.client.HTTPConnection):
    """A connection whose responses are strict ones."""
    response_class = StrictResponse


class StrictHandler(urllib.request.HTTPHandler):
    """Opens URLs over strict connections."""

    def http_open(self, request):
        return self.do_open(StrictConnection, request)


OPENER = urllib.request.build_opener(StrictHandler)

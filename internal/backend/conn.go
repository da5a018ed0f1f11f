package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"fuchsiahub.example/fuchsiahub/internal/call"
	"fuchsiahub.example/fuchsiahub/internal/chart"
	"fuchsiahub.example/fuchsiahub/internal/httpstatus"
	"fuchsiahub.example/fuchsiahub/internal/task"
)

// dialTimeout bounds opening a connection. A backend server accepts in about 1 ms; a round trip between regions takes
// 16 ms.
const dialTimeout = time.Second

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// connection is a task that owns one socket. It is the context of charts/connection.toml.
type connection struct {
	address   string
	dial      Dialer
	codec     Codec
	pool      *task.Mailbox[any]
	exchanges chan Exchange
	machine   *chart.Machine[*connection]
	socket    *limitedConn
	reader    *bufio.Reader
	writer    *bufio.Writer
	reusable  bool
	// reused is true when the connection has carried a request or an answer before the one in progress.
	reused bool
	// refused holds the requests that the server refused on this connection.
	refused refusedIDs
	// foreignAnswers counts the foreign answers that the exchange in progress met.
	foreignAnswers int
	// keepAlive is the idle timeout that the server announced; zero when it announced none.
	keepAlive time.Duration
	// retirementOffered is true when the connection has been offered to the pool for retirement since its last exchange.
	retirementOffered bool
}

func bindConnection(ch *chart.Chart) (*chart.Bound[*connection], error) {
	return chart.Bind(ch, chart.Bindings[*connection]{
		Guards: map[string]func(*connection) bool{
			"reusable": func(c *connection) bool { return c.reusable },
		},
		Actions: map[string]func(*connection){
			"close_socket":     (*connection).closeSocket,
			"offer_retirement": func(c *connection) { c.retirementOffered = true; c.notifyPool(connectionExpired{c: c}) },
		},
	})
}

// Messages from a connection to its pool.
type (
	connectionIdle struct {
		c *connection
		// justOpened is true when the connection has just been opened.
		justOpened bool
	}
	connectionExpired struct{ c *connection }
	connectionClosed  struct {
		c *connection
		// dialError is set when the connection could not be opened.
		dialError error
	}
)

// run is the body of the connection's task. The pool outlives its connections, so a send to it never blocks for long.
func (c *connection) run(dialCtx context.Context, bound *chart.Bound[*connection]) {
	c.machine = bound.New(time.Now(), c)
	if err := c.open(dialCtx); err != nil {
		c.fire("dial_failed")
		c.notifyPool(connectionClosed{c: c, dialError: err})
		return
	}
	c.fire("dialed")
	for justOpened := true; !c.machine.Final(); justOpened = false {
		c.notifyPool(connectionIdle{c: c, justOpened: justOpened})
		c.serveNext()
	}
	c.notifyPool(connectionClosed{c: c})
}

func (c *connection) fire(event string) {
	if err := c.machine.Fire(time.Now(), event); err != nil {
		panic(err) // events are constants of this package; an unknown one is a programming error
	}
}

// notifyPool sends a message to the pool. It blocks while the mailbox is full: a lost message would leak the connection.
func (c *connection) notifyPool(m any) {
	_ = c.pool.Send(context.Background(), m) // a background context never ends
}

func (c *connection) open(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	socket, err := c.dial(ctx, c.address)
	if err != nil {
		return err
	}
	c.socket = &limitedConn{Conn: socket, readable: unlimitedBytes}
	c.reader = bufio.NewReader(c.socket)
	c.writer = bufio.NewWriter(c.socket)
	return nil
}

func (c *connection) closeSocket() {
	if c.socket != nil {
		_ = c.socket.Close() // the socket is discarded, so an error has no consequence
	}
}

// serveNext waits for one exchange. When the idle limit passes it asks the pool to retire the connection and keeps
// waiting, because the pool may have assigned an exchange in the meantime.
func (c *connection) serveNext() {
	for {
		exchange, ok, expired := c.nextExchange()
		switch {
		case expired:
			c.fire("expired")
		case !ok:
			c.fire("retire")
			return
		default:
			c.runExchange(exchange)
			return
		}
	}
}

func (c *connection) nextExchange() (exchange Exchange, ok, expired bool) {
	if c.retirementOffered {
		exchange, ok = <-c.exchanges
		return exchange, ok, false
	}
	timer := time.NewTimer(time.Until(c.idleEnd()))
	defer timer.Stop()
	select {
	case exchange, ok = <-c.exchanges:
		return exchange, ok, false
	case <-timer.C:
		return Exchange{}, false, true
	}
}

// keepAliveFraction is the fraction of the server's idle timeout for which a connection is kept; the remainder covers the
// network delay.
const keepAliveFraction = 0.8

// idleEnd returns the time at which an idle connection is offered for retirement, which is before the server closes it.
func (c *connection) idleEnd() time.Time {
	end, limited := c.machine.Deadline()
	if c.keepAlive > 0 {
		announced := c.machine.Since().Add(time.Duration(keepAliveFraction * float64(c.keepAlive)))
		if !limited || announced.Before(end) {
			return announced
		}
	}
	return end
}

func (c *connection) runExchange(exchange Exchange) {
	c.fire("exchange")
	c.retirementOffered = false
	c.foreignAnswers = 0
	if err := c.checkIdle(); err != nil {
		c.fire("broken")
		exchange.Reply <- Result{Fate: call.NotSent, Err: err, ForeignAnswers: c.foreignAnswers}
		return
	}
	if c.refused.contains(exchange.Request.ID) {
		c.fire("broken") // that refusal, written once more, would pass for the answer
		c.notifyPool(exchange)
		return
	}
	c.socket.beginExchange()
	stopCancel := context.AfterFunc(exchange.Ctx, func() { _ = c.socket.SetDeadline(time.Unix(1, 0)) })
	result, body := c.roundTrip(exchange)
	// The caller may end its context as soon as it has a buffered answer; that must not close the connection. A streamed
	// answer can be cancelled until its end.
	cancelStopped := body.pipe == nil && stopCancel()
	if body.pipe != nil { // a caller that does not read must not hold the connection after the context has ended
		defer context.AfterFunc(exchange.Ctx, func() {
			body.pipe.CloseWithError(errors.Join(errTruncated, context.Cause(exchange.Ctx)))
		})()
	}
	if body.buffered && c.reader.Buffered() > 0 {
		c.foreignAnswers++ // surplus bytes behind the complete answer
	}
	result.ForeignAnswers = c.foreignAnswers
	exchange.Reply <- result
	c.reusable = body.finish() && (cancelStopped || stopCancel())
	if !c.reusable && exchange.Ctx.Err() != nil {
		c.fire("cancelled")
		return
	}
	c.fire("finished")
}

// checkIdle returns an error if the idle connection must not be used, and counts an unsolicited answer.
func (c *connection) checkIdle() error {
	err := checkIdle(c.socket.Conn)
	if c.reader.Buffered() > 0 {
		err = errUnsolicited
	}
	if err == errUnsolicited {
		c.foreignAnswers++
	}
	return err
}

var (
	errTruncated = errors.New("answer of the backend server is truncated")
	errUnproven  = errors.New("answer of the backend server does not show that it belongs to the request")
)

// roundTrip writes the request and reads the answer. The body holds the part that is streamed after the reply.
func (c *connection) roundTrip(exchange Exchange) (Result, body) {
	start := time.Now()
	if err := c.write(exchange.Request, start); err != nil {
		return c.brokenResult(err), body{}
	}
	response, ownership, err := c.readAnswer(exchange.Request)
	c.reused = true
	if err != nil {
		return c.brokenResult(c.socket.answerError(err)), body{}
	}
	result := Result{Fate: call.Answered, Elapsed: time.Since(start), Late: !c.socket.lateSince.IsZero(), ClosesConnection: response.Close}
	c.codec.Decode(&result, response.StatusCode, response.Header)
	c.keepAlive = keepAliveTimeout(response.Header)
	if exchange.MaxBodyBytes > 0 {
		c.socket.readable = exchange.MaxBodyBytes
		defer func() { c.socket.readable = unlimitedBytes }()
	}
	result, rest := c.readBody(result, response)
	rest.isLast = result.Fate == call.DeclaredNotRun && !c.recordRefusal(exchange.Request, ownership)
	return result, rest
}

func (c *connection) write(req *call.Request, now time.Time) error {
	if err := encode(c.codec, req, now).Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// maxForeignAnswers bounds the answers to earlier requests that are skipped before the answer to the current one.
const maxForeignAnswers = 4

// readAnswer reads the head of the answer to the request and skips answers to earlier requests.
func (c *connection) readAnswer(req *call.Request) (*http.Response, Ownership, error) {
	foreignBytesLeft := maxForeignBytes
	for range maxForeignAnswers {
		response, err := c.readHead(req.Method)
		if err != nil {
			return nil, UnprovenAnswer, err
		}
		switch ownership := c.codec.CheckOwnership(req, c.reused, response.StatusCode, response.Header); ownership {
		case OwnAnswer, UnidentifiedAnswer:
			return response, ownership, nil
		case UnprovenAnswer:
			c.foreignAnswers++
			return nil, ownership, errUnproven
		case ForeignAnswer:
			c.foreignAnswers++
			c.reused = true
			if foreignBytesLeft, err = c.skipBody(response, foreignBytesLeft); err != nil {
				return nil, ownership, err
			}
		}
	}
	return nil, UnprovenAnswer, errUnproven
}

// skipBody reads the body of an answer to an earlier request. It returns how much of the limit in bytes is left.
func (c *connection) skipBody(response *http.Response, limit int) (int, error) {
	c.socket.readable = limit
	defer func() { c.socket.readable = unlimitedBytes }()
	_, err := io.Copy(io.Discard, response.Body)
	return c.socket.readable, err
}

// readHead reads the head of the next answer and skips interim (1xx) answers. It fails as soon as a status is not valid.
func (c *connection) readHead(method string) (*http.Response, error) {
	c.socket.readable = maxHeadBytes
	defer func() { c.socket.readable, c.socket.inHead = unlimitedBytes, false }()
	for range maxInterimAnswers + 1 {
		c.socket.beginHead()
		if err := c.checkStatusLine(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, httpstatus.CheckFinal(response.StatusCode)
		}
		if err := httpstatus.CheckInterim(response.StatusCode, response.Header, response.TransferEncoding); err != nil {
			return nil, err
		}
	}
	return nil, errTooLong
}

// checkStatusLine waits for the next line and checks the status in it, before the rest of the head arrives. A line that is
// longer than the buffer is left to the parser.
func (c *connection) checkStatusLine() error {
	for size := 1; ; size = c.reader.Buffered() + 1 {
		switch _, err := c.reader.Peek(size); err {
		case nil:
		case bufio.ErrBufferFull:
			return nil
		case io.EOF:
			return io.ErrUnexpectedEOF // as from the parser
		default:
			return err
		}
		arrived, _ := c.reader.Peek(c.reader.Buffered()) // what is buffered can be read
		if end := bytes.IndexByte(arrived, '\n'); end >= 0 {
			return httpstatus.CheckLine(arrived[:end])
		}
	}
}

// keepAliveTimeout returns the idle timeout that a server announces in whole seconds; zero when it announces none.
func keepAliveTimeout(header http.Header) time.Duration {
	_, after, found := strings.Cut(header.Get("Keep-Alive"), "timeout=")
	if !found {
		return 0
	}
	text, _, _ := strings.Cut(after, ",")
	seconds, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || seconds < 0 {
		return 0 // a malformed field counts as absent
	}
	return time.Duration(seconds) * time.Second
}

func (c *connection) brokenResult(err error) Result {
	fate := call.MaybeRun
	if c.socket.written == 0 {
		fate = call.NotSent
	}
	return Result{Fate: fate, Err: err}
}

// readBody buffers a short body. A longer one is streamed through a pipe while the connection stays busy.
func (c *connection) readBody(result Result, response *http.Response) (Result, body) {
	answer := &call.Answer{Status: response.StatusCode, Header: decodeHeader(response.Header), Length: response.ContentLength}
	prefix, err := io.ReadAll(io.LimitReader(response.Body, MaxBufferedAnswerBytes+1))
	if err != nil {
		return Result{Fate: call.MaybeRun, Err: errors.Join(errTruncated, c.socket.answerError(err))}, body{}
	}
	result.Answer = answer
	if len(prefix) <= MaxBufferedAnswerBytes {
		answer.Body = prefix
		return result, body{conn: c, response: response, buffered: true}
	}
	if result.Fate == call.DeclaredNotRun {
		return result, body{} // nobody reads the body of a refusal
	}
	reader, writer := io.Pipe()
	answer.Stream = reader
	return result, body{conn: c, response: response, prefix: prefix, pipe: writer}
}

// body is the part of an answer that has not been delivered yet.
type body struct {
	conn     *connection
	response *http.Response
	buffered bool
	prefix   []byte
	pipe     *io.PipeWriter
	// isLast is true when the connection carries no exchange after this one.
	isLast bool
}

// finish streams the rest of the body and reports whether the connection may carry another exchange.
func (b body) finish() bool {
	if b.response == nil {
		return false
	}
	delivered := b.buffered || b.stream()
	return delivered && !b.isLast && !b.response.Close && b.conn.reader.Buffered() == 0
}

func (b body) stream() bool {
	if _, err := b.pipe.Write(b.prefix); err != nil {
		return false
	}
	_, err := io.Copy(b.pipe, b.response.Body)
	if err != nil {
		b.pipe.CloseWithError(errors.Join(errTruncated, b.conn.socket.answerError(err)))
		return false
	}
	return b.pipe.Close() == nil
}

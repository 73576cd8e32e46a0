package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/bergamotgrade/bergamotgrade"
)

var _ bergamotgrade.EngineOrders = (*Client)(nil)

// EngineState implements bergamotgrade.EngineOrders.
func (c *Client) EngineState(ctx context.Context, server bergamotgrade.BackendServer) (bergamotgrade.EngineState, error) {
	return c.requestOrders(ctx, server, http.MethodGet, nil)
}

// Order implements bergamotgrade.EngineOrders. It uses a new connection, since net/http
// may repeat a request whose reused connection fails, and an order is sent only once.
func (c *Client) Order(ctx context.Context, server bergamotgrade.BackendServer, order bergamotgrade.EngineOrder) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	_, err = c.requestOrders(ctx, server, http.MethodPost, body)
	return err
}

// requestOrders sends a request to the /orders path of the engine and returns the state
// in the response.
func (c *Client) requestOrders(ctx context.Context, server bergamotgrade.BackendServer, method string, body []byte) (bergamotgrade.EngineState, error) {
	var state bergamotgrade.EngineState
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server.Address+"/orders", bytes.NewReader(body))
	if err != nil {
		return state, err
	}
	res, err := c.transportsFor(server.Address).unpooled.RoundTrip(req)
	if err != nil {
		return state, err
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusOK:
		err = json.NewDecoder(io.LimitReader(res.Body, maxEventBytes)).Decode(&state)
	case http.StatusConflict:
		err = bergamotgrade.NewError(bergamotgrade.KindConflict, "the engine has a newer order-giver", "leave the orders to it")
	default:
		err = fmt.Errorf("engine returned status %s to an orders request", res.Status)
	}
	return state, err
}
